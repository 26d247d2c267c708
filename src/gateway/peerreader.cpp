#include "peerreader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Time for a large configuration of a peer over a slow link.
constexpr Duration CONFIGURATION_TIMEOUT = Duration(6000);
/// \brief Position from which a peer has no endpoint records to tell: only its configuration is wanted.
constexpr StorePosition NO_ENDPOINTS = {platform::MAX_STORE_ERA + StoreEra(1), Offset(0)};
} // namespace

PeerReader::PeerReader(GatewayState &gateway, RpcContext &rpc, RecordIntake &intake)
    : gateway_(gateway)
    , rpc_(rpc)
    , intake_(intake)
{
}

bool PeerReader::ask(StorePosition endpointsFrom)
{
    const std::optional<std::string> peer = questions_.begin(gateway_.settings.peers, gateway_.settings.peerListen);
    if (!peer) {
        return false;
    }
    boost::asio::co_spawn(gateway_.io, fetch(*peer, endpointsFrom), [](const std::exception_ptr &failure) {
        // A violated invariant ends the process.
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
    return true;
}

void PeerReader::askEach()
{
    const auto isOther = [this](const std::string &peer) {
        return peer != gateway_.settings.peerListen;
    };
    questions_.owe(static_cast<std::size_t>(std::ranges::count_if(gateway_.settings.peers, isOther)));
}

void PeerReader::askAfterSuccess()
{
    if (questions_.isOwed() && ask(NO_ENDPOINTS)) {
        questions_.pay();
    }
}

awaitable<void> PeerReader::fetch(std::string peer, StorePosition endpointsFrom)
{
    gateway_.metrics.set("mimosatally_peer_questions_open", {}, static_cast<double>(questions_.open()));
    std::string failure;
    try {
        co_await fetchRecords(peer, endpointsFrom);
    } catch (const InvariantViolation &) {
        throw;
    } catch (const std::exception &error) {
        failure = error.what();
    }
    questions_.end(peer);
    gateway_.metrics.set("mimosatally_peer_questions_open", {}, static_cast<double>(questions_.open()));
    if (!failure.empty()) {
        gateway_.metrics.increment("mimosatally_peer_failures_total", {});
        logEvent(LogEvent::PeerUnreachable, {{"peer", peer}, {"error", failure}});
    }
}

awaitable<void> PeerReader::fetchRecords(std::string peer, StorePosition endpointsFrom)
{
    std::shared_ptr<const PositionedRecord> configuration = co_await fetchEndpoints(peer, endpointsFrom);
    // The peer is known to answer, so it gets the time that a large configuration takes.
    if (!configuration) {
        configuration = co_await fetchConfiguration(peer);
    }
    if (configuration) {
        co_await intake_.applyPeerConfiguration(std::move(configuration));
        gateway_.applyEndpoints(MilliClock::now());
    }
}

awaitable<std::shared_ptr<const PositionedRecord>> PeerReader::fetchEndpoints(std::string peer, StorePosition from)
{
    PeerQuery query;
    query.endpointsFrom = from;
    query.wantsConfiguration = false;
    const Time asked = MilliClock::now();
    NewestRecords records = co_await fetchPeerRecords(rpc_, peer, query);
    const Time now = MilliClock::now();
    for (const auto &[key, positioned] : records.endpoints) {
        intake_.applyEndpoint(positioned.record, positioned.era, now);
    }
    if (from != NO_ENDPOINTS) {
        gateway_.peerEndpointsAsOf = asked;
    }
    // The process may be ready from here on, so the router must know the endpoints at once.
    gateway_.applyEndpoints(now);
    co_return std::move(records.configuration);
}

awaitable<std::shared_ptr<const PositionedRecord>> PeerReader::fetchConfiguration(std::string peer)
{
    PeerQuery query;
    query.endpointsFrom = NO_ENDPOINTS;
    query.knownConfiguration = intake_.newest().configurationRank();
    query.timeout = CONFIGURATION_TIMEOUT;
    NewestRecords records = co_await fetchPeerRecords(rpc_, peer, query);
    co_return std::move(records.configuration);
}

} // namespace mimosatally::internal
