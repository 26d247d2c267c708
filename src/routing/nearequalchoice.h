#pragma once

#include <mimosatally/Core>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mimosatally::internal
{

/// \brief Number of recent events, each of which fades within some tenths of a second.
class FadingCount
{
public:
    /// \param age time since the event.
    void add(Duration age, Time now);
    [[nodiscard]] double value(Time now) const;

private:
    double value_ = 0;
    Time updatedAt_ = Time::min();
};

/// \brief Cost of one candidate, and its weight in a random choice.
struct WeightedCost {
    double cost = 0;
    double weight = 1;
};

/// \brief Returns the index of one of \a candidates whose cost is near the least: the cheaper of two that are drawn at random by their weights.
///
/// Many processes choose at the same time by the same old reports. If each took the cheapest, all would take the same one.
/// \param random equally distributed bits. \param candidates not empty.
[[nodiscard]] std::size_t chooseNearEqual(const std::vector<WeightedCost> &candidates, std::uint64_t random);

} // namespace mimosatally::internal
