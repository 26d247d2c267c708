#include "percent.h"
#include "digits.h"

namespace mimosatally::internal
{

namespace
{
constexpr std::int64_t ONE_HUNDRED_PERCENT = 1'000'000;
constexpr std::int64_t MILLIONTHS_PER_PERCENT = 10'000;
constexpr std::size_t PERCENT_DECIMALS = 4;
} // namespace

std::optional<std::int64_t> parsePercent(std::string_view text)
{
    if (!text.ends_with('%')) {
        return std::nullopt;
    }
    text.remove_suffix(1);
    const std::size_t point = text.find('.');
    const std::optional<std::int64_t> whole = parseDigits(text.substr(0, point));
    std::string decimals(point == std::string_view::npos ? "0" : text.substr(point + 1));
    if (!whole || *whole > 100 || decimals.empty() || decimals.size() > PERCENT_DECIMALS) {
        return std::nullopt;
    }
    decimals.resize(PERCENT_DECIMALS, '0');
    const std::optional<std::int64_t> fraction = parseDigits(decimals);
    if (!fraction) {
        return std::nullopt;
    }
    const std::int64_t share = *whole * MILLIONTHS_PER_PERCENT + *fraction;
    return share <= ONE_HUNDRED_PERCENT ? std::optional(share) : std::nullopt;
}

std::string formatPercent(std::int64_t millionths)
{
    std::string decimals = std::to_string(millionths % MILLIONTHS_PER_PERCENT);
    decimals.insert(0, PERCENT_DECIMALS - decimals.size(), '0');
    decimals.erase(decimals.find_last_not_of('0') + 1);
    return std::to_string(millionths / MILLIONTHS_PER_PERCENT) + (decimals.empty() ? "" : '.' + decimals) + '%';
}

} // namespace mimosatally::internal
