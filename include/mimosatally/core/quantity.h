#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace mimosatally
{

/// \brief Integer amount of one unit; amounts of different units do not mix.
template<class Tag>
class Quantity
{
public:
    constexpr Quantity() = default;

    constexpr explicit Quantity(std::int64_t count)
        : count_(count)
    {
    }

    [[nodiscard]] constexpr std::int64_t count() const
    {
        return count_;
    }

    constexpr auto operator<=>(const Quantity &) const = default;

    constexpr Quantity &operator+=(Quantity other)
    {
        count_ += other.count_;
        return *this;
    }

    constexpr Quantity &operator-=(Quantity other)
    {
        count_ -= other.count_;
        return *this;
    }

    friend constexpr Quantity operator+(Quantity left, Quantity right)
    {
        return left += right;
    }

    friend constexpr Quantity operator-(Quantity left, Quantity right)
    {
        return left -= right;
    }

    friend std::ostream &operator<<(std::ostream &stream, Quantity quantity)
    {
        return stream << quantity.count_;
    }

private:
    std::int64_t count_ = 0;
};

/// \brief Number of model tokens.
using Tokens = Quantity<struct TokensTag>;
/// \brief Size in bytes.
using Bytes = Quantity<struct BytesTag>;
/// \brief Rate of requests in thousandths of a request per second.
using RequestRate = Quantity<struct RequestRateTag>;
/// \brief Position of a record in a stream of the log service; the first record has offset 0.
using Offset = Quantity<struct OffsetTag>;
/// \brief Number of a usage window: window k begins k times the length of a window after the start of 1970, in true time.
using UsageWindow = Quantity<struct UsageWindowTag>;
/// \brief Number of times that a store has returned from an older copy of its records. Offsets are given out again in each era.
using StoreEra = Quantity<struct StoreEraTag>;
/// \brief Fencing token of a lease: the log offset of the record that acquired it.
using Epoch = Quantity<struct EpochTag>;
/// \brief Log offset of the record that made a configuration current; -1 before the first one.
using ConfigurationVersion = Quantity<struct ConfigurationVersionTag>;

/// \brief Returns \a rate in requests per second.
[[nodiscard]] constexpr double requestsPerSecond(RequestRate rate)
{
    constexpr double ratePerRequest = 1000;
    return static_cast<double>(rate.count()) / ratePerRequest;
}

} // namespace mimosatally

template<class Tag>
struct std::hash<mimosatally::Quantity<Tag>> {
    std::size_t operator()(mimosatally::Quantity<Tag> quantity) const noexcept
    {
        return std::hash<std::int64_t>()(quantity.count());
    }
};
