#pragma once

#include <mimosatally/Serving>

#include <cstddef>
#include <map>
#include <vector>

namespace mimosatally
{

/// \brief Estimates the time that consecutive records of a store cover, from the number of heartbeats that one endpoint has written among them.
///
/// Only the order of heartbeat numbers counts, not their difference: an endpoint may number heartbeats that the store did not accept.
class HeartbeatSpan
{
public:
    /// \brief Adds the next record.
    void add(const EndpointRecord &record);

    /// \brief Returns the number of records that were added, which marks the place behind the last of them.
    [[nodiscard]] std::size_t size() const;

    /// \brief Returns the number of heartbeat intervals that all records cover at least.
    [[nodiscard]] int intervals() const;

    /// \brief Returns the number of heartbeat intervals that the records added after \a mark cover at least.
    [[nodiscard]] int intervalsAfter(std::size_t mark) const;

private:
    struct Counted {
        EndpointRecord last;
        /// \brief Places of the records that follow the endpoint's previous one by a regular interval.
        std::vector<std::size_t> regular;
    };

    std::map<EndpointId, Counted> endpoints_;
    std::size_t size_ = 0;
};

} // namespace mimosatally
