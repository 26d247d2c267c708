#include "core/hex.h"

#include <mimosatally/Core>

#include <array>
#include <memory>
#include <openssl/evp.h>

namespace mimosatally
{

namespace
{
constexpr std::size_t KEY_BYTES = 32;
constexpr std::size_t SIGNATURE_BYTES = 64;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

DigestContext newContext()
{
    return {EVP_MD_CTX_new(), &EVP_MD_CTX_free};
}
} // namespace

SigningKeyPair generateSigningKeyPair()
{
    const Key key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), &EVP_PKEY_free);
    std::array<unsigned char, KEY_BYTES> privateKey;
    std::array<unsigned char, KEY_BYTES> publicKey;
    std::size_t privateSize = privateKey.size();
    std::size_t publicSize = publicKey.size();
    if (!key || EVP_PKEY_get_raw_private_key(key.get(), privateKey.data(), &privateSize) != 1
        || EVP_PKEY_get_raw_public_key(key.get(), publicKey.data(), &publicSize) != 1) {
        throw Error("cannot generate an Ed25519 key pair");
    }
    return {internal::toHex(privateKey), internal::toHex(publicKey)};
}

std::string signMessage(const std::string &privateKeyHex, std::string_view message)
{
    const auto raw = internal::fromHex(privateKeyHex);
    if (!raw || raw->size() != KEY_BYTES) {
        throw MalformedInputError("the operator key is not an Ed25519 private key in hexadecimal");
    }
    const Key key(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, bytesOf(*raw), raw->size()), &EVP_PKEY_free);
    const DigestContext context = newContext();
    std::array<unsigned char, SIGNATURE_BYTES> signature;
    std::size_t size = signature.size();
    if (!key || EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) != 1
        || EVP_DigestSign(context.get(), signature.data(), &size, bytesOf(message), message.size()) != 1) {
        throw Error("cannot sign with the operator key");
    }
    return internal::toHex(signature);
}

bool verifySignature(const std::string &publicKeyHex, std::string_view message, const std::string &signatureHex)
{
    const auto raw = internal::fromHex(publicKeyHex);
    const auto signature = internal::fromHex(signatureHex);
    if (!raw || raw->size() != KEY_BYTES || !signature || signature->size() != SIGNATURE_BYTES) {
        return false;
    }
    const Key key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytesOf(*raw), raw->size()), &EVP_PKEY_free);
    const DigestContext context = newContext();
    return key && EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, key.get()) == 1
           && EVP_DigestVerify(context.get(), bytesOf(*signature), signature->size(), bytesOf(message), message.size()) == 1;
}

} // namespace mimosatally
