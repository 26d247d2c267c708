#include "requesthash.h"

#include <array>
#include <memory>
#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

namespace
{
using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/// \brief Adds a field with its length, so that the border between two fields counts.
void add(EVP_MD_CTX *context, std::string_view field)
{
    const std::uint64_t length = field.size();
    EVP_DigestUpdate(context, &length, sizeof(length));
    EVP_DigestUpdate(context, field.data(), field.size());
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}
} // namespace

std::uint64_t requestHash(const HttpRequest &request, std::span<const PromptPart> parts)
{
    namespace http = boost::beast::http;
    const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    add(context.get(), view(request.method_string()));
    add(context.get(), view(request[http::field::host]));
    add(context.get(), view(request.target()));
    add(context.get(), view(request[http::field::authorization]));
    add(context.get(), view(request[http::field::cookie]));
    for (const PromptPart &part : parts) {
        add(context.get(), std::to_string(part.id));
    }
    add(context.get(), request.body());
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < sizeof(hash); ++i) {
        hash = (hash << 8U) | digest[i];
    }
    return hash;
}

} // namespace mimosatally::internal
