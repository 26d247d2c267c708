#include "core/hex.h"

#include <mimosatally/Core>

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace mimosatally
{

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return internal::toHex(digest);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace mimosatally
