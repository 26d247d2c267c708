#include <mimosatally/Streams>

#include <mimosatally/core/digest.h>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>

namespace mimosatally
{

namespace
{
/// \brief Hexadecimal digits of the digest that are used; the value is exact in a double.
constexpr std::size_t USED_DIGITS = 13;
constexpr double USED_RANGE = 4'503'599'627'370'496.0;

/// \brief Returns a number in (0, 1) that the key and the name determine.
double hashedUniform(std::string_view key, std::string_view name)
{
    Sha256 hash;
    // The length keeps two pairs with the same concatenation apart.
    hash.add(std::to_string(key.size()));
    hash.add(":");
    hash.add(key);
    hash.add(name);
    const std::string digits = hash.hex().substr(0, USED_DIGITS);
    std::uint64_t value = 0;
    constexpr int hexadecimal = 16;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    return (static_cast<double>(value) + 0.5) / USED_RANGE;
}
} // namespace

double rendezvousCost(std::string_view key, std::string_view name, double weight)
{
    if (weight <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    return -std::log(hashedUniform(key, name)) / weight;
}

} // namespace mimosatally
