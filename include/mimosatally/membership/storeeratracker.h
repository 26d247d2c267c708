#pragma once

#include <mimosatally/Core>

#include <optional>

namespace mimosatally
{

/// \brief Era of a store as far as one process has seen it.
///
/// Performs no I/O. Each answer of the store states its era; a store of an earlier version states none, and its answers count as being of the current era.
class StoreEraTracker
{
public:
    /// \brief What an answer says about the era.
    enum class Observation {
        Unchanged,
        /// \brief The store has returned from an older copy since the last answer.
        Advanced,
        /// \brief The answer is older than the last change of the era and arrived late.
        Outdated,
    };

    /// \brief Records the era that an answer states; empty if it states none.
    Observation observe(std::optional<StoreEra> era, Time now);

    [[nodiscard]] StoreEra current() const;

    /// \brief Returns when the current era was first seen; Time::max() before the first answer.
    [[nodiscard]] Time since() const;

private:
    StoreEra current_;
    Time since_ = Time::max();
    bool stated_ = false;
};

} // namespace mimosatally
