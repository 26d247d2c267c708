#pragma once

#include <mimosatally/Core>

#include <compare>

namespace mimosatally
{

/// \brief Position of a record in a store that can return from an older copy: an offset counts only within its era, and a newer era goes first.
struct StorePosition {
    StoreEra era;
    Offset offset;

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace mimosatally
