#include "command.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace mimosatally::internal
{

namespace
{
constexpr mode_t OWNER_ONLY = 0600;

/// \brief Creates a file that only its owner can read; an existing file is not overwritten.
void writeSecret(const std::string &path, const std::string &text)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OWNER_ONLY);
    if (file < 0) {
        throw UsageError(path + " cannot be created: " + std::strerror(errno) + "; give the name of a file that does not exist");
    }
    const ssize_t written = ::write(file, text.data(), text.size());
    if (::close(file) != 0 || written != static_cast<ssize_t>(text.size())) {
        throw Error(path + " cannot be written");
    }
}

int key(const Arguments &arguments)
{
    const SigningKeyPair pair = generateSigningKeyPair();
    const std::string apiKey = "mk-" + newUniqueId() + newUniqueId();
    nlohmann::ordered_json secret = {
        {"private_key", pair.privateKey}, {"public_key", pair.publicKey}, {"api_key", apiKey}, {"api_key_hash", sha256Hex(apiKey)}};
    const std::string path = stringArgument(arguments, "--out");
    if (!path.empty()) {
        writeSecret(path, secret.dump(2) + '\n');
        secret.erase("private_key");
        secret.erase("api_key");
    }
    std::cout << secret.dump(2) << '\n';
    return ExitCode::Success;
}
} // namespace

const Command KEY_COMMAND = {"key",
                             R"(Generates an Ed25519 key pair for an operator and an API key with its SHA-256 hash.

Usage: mimosatally key new [--out=FILE]
       mimosatally key --help

Options:
  --out=FILE  Write all parts to a new file that only its owner can read, and print the public parts only.

The public key and the hash go into the configuration; the file is used by `publish --key` and `status --key-file`.
)",
                             key};

} // namespace mimosatally::internal
