#pragma once

#include "gatewaystate.h"

#include <boost/asio/steady_timer.hpp>
#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Learns from the records that the store still has which versions were registered before this process watched.
class EndpointHistory
{
public:
    explicit EndpointHistory(GatewayState &gateway);

    /// \brief Reads the kept heartbeats of all endpoints, once unless versions were missed since, and at most once a second. Concurrent calls share one read.
    /// A failure of the store is logged; the history then stays as it was.
    boost::asio::awaitable<void> cover();

private:
    boost::asio::awaitable<void> read();
    /// \brief Reads all pages. \throws UnreachableError \throws MalformedInputError
    boost::asio::awaitable<void> readPages();
    /// \brief Slots that were registered from a place of the history on.
    struct State {
        std::size_t place;
        RegisteredSlots slots;
    };

    /// \param[out] states gets the further states that the record shows.
    void observe(const platform::KeyedRecord &record, HeartbeatSpan &span, RegistrationReplay &replay, std::vector<State> &states);
    /// \brief Records the states that may have held within the window of the rules.
    void recordStates(const std::vector<State> &states, const HeartbeatSpan &span);
    /// \brief Returns the time that a history covers of which the store still has all records.
    [[nodiscard]] Duration coverageOf(const RegistrationReplay &replay) const;

    GatewayState &gateway_;
    platform::StoreClient store_;
    bool reading_ = false;
    /// \brief Never expires; it is cancelled when a read ends.
    boost::asio::steady_timer readEnd_;
    Time nextRead_ = Time::min();
    /// \brief VersionHistory::gapCount() at the last complete read.
    std::optional<std::uint64_t> readAtGap_;
};

} // namespace mimosatally::internal
