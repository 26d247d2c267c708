#include "core/hex.h"

namespace mimosatally::internal
{

namespace
{
int digitValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}
} // namespace

std::string toHex(std::span<const unsigned char> data)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(data.size() * 2);
    for (const unsigned char byte : data) {
        text += digits[byte >> 4];
        text += digits[byte & 0x0f];
    }
    return text;
}

std::optional<std::string> fromHex(std::string_view text)
{
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const int high = digitValue(text[i]);
        const int low = digitValue(text[i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        bytes += static_cast<char>(high * 16 + low);
    }
    return bytes;
}

} // namespace mimosatally::internal
