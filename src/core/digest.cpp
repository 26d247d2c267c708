#include "core/hex.h"

#include <mimosatally/Core>

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace mimosatally
{

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return internal::toHex(digest);
}

Sha256::Sha256()
    : context_(EVP_MD_CTX_new())
{
    EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
}

Sha256::~Sha256() = default;
Sha256::Sha256(Sha256 &&) noexcept = default;
Sha256 &Sha256::operator=(Sha256 &&) noexcept = default;

void Sha256::Deleter::operator()(evp_md_ctx_st *context) const
{
    EVP_MD_CTX_free(context);
}

void Sha256::add(std::string_view data)
{
    EVP_DigestUpdate(context_.get(), data.data(), data.size());
}

std::string Sha256::hex() const
{
    const std::unique_ptr<evp_md_ctx_st, Deleter> copy(EVP_MD_CTX_new());
    EVP_MD_CTX_copy_ex(copy.get(), context_.get());
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    EVP_DigestFinal_ex(copy.get(), digest.data(), nullptr);
    return internal::toHex(digest);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace mimosatally
