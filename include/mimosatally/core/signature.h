#pragma once

#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief Ed25519 key pair of an operator; both parts are in hexadecimal.
struct SigningKeyPair {
    std::string privateKey;
    std::string publicKey;
};

/// \brief Generates a key pair. \throws Error if the library fails.
SigningKeyPair generateSigningKeyPair();

/// \brief Signs \a message. \return the Ed25519 signature in hexadecimal. \throws MalformedInputError if the key is invalid.
std::string signMessage(const std::string &privateKeyHex, std::string_view message);

/// \brief Verifies a signature; malformed keys and signatures count as a mismatch.
bool verifySignature(const std::string &publicKeyHex, std::string_view message, const std::string &signatureHex);

} // namespace mimosatally
