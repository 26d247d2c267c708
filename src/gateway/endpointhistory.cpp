#include "endpointhistory.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <platform/recordcodec.h>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Calls wait for the whole read.
constexpr Duration READ_TIMEOUT = Duration(800);
constexpr Duration MIN_READ_INTERVAL = Duration(1000);
/// \brief Bounds the pages, of at most a megabyte each, that one read of the history fetches.
constexpr int MAX_PAGES = 8;
} // namespace

EndpointHistory::EndpointHistory(GatewayState &gateway)
    : gateway_(gateway)
    , store_(gateway.io, parseAddress(gateway.settings.store))
    , readEnd_(gateway.io, boost::asio::steady_timer::time_point::max())
{
}

awaitable<void> EndpointHistory::cover()
{
    const Time now = MilliClock::now();
    const bool wasRead = readAtGap_ && *readAtGap_ == gateway_.streams.versions().gapCount();
    if (reading_) {
        boost::system::error_code ignored;
        co_await readEnd_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    } else if (!wasRead && now >= nextRead_) {
        nextRead_ = now + MIN_READ_INTERVAL;
        reading_ = true;
        co_await read();
        reading_ = false;
        readEnd_.cancel();
    }
}

awaitable<void> EndpointHistory::read()
{
    std::string failure;
    try {
        co_await readPages();
    } catch (const Error &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        gateway_.metrics.increment("mimosatally_store_failures_total", "topic=\"endpoint_history\"");
        logEvent(LogEvent::EndpointHistoryRead, {{"error", failure}});
    }
}

awaitable<void> EndpointHistory::readPages()
{
    const std::uint64_t gaps = gateway_.streams.versions().gapCount();
    HeartbeatSpan span;
    RegistrationReplay replay(true);
    std::vector<State> states;
    Offset from(0);
    std::optional<StoreEra> era;
    std::size_t count = 0;
    bool complete = false;
    bool more = true;
    const Time began = MilliClock::now();
    const Time end = began + READ_TIMEOUT;
    for (int page = 0; more; ++page) {
        const Duration left = end - MilliClock::now();
        if (page == MAX_PAGES || left <= Duration(0)) {
            throw UnreachableError("the history of the endpoints is too long or takes too long");
        }
        const auto answer = co_await store_.read(platform::KeyedTopic::Endpoints, from, Duration(0), left);
        if (const auto *deleted = std::get_if<platform::OffsetUnavailable>(&answer)) {
            if (!deleted->first || *deleted->first <= from || count > 0) {
                throw UnreachableError("the history of the endpoints was deleted while it was read");
            }
            from = *deleted->first;
            replay = RegistrationReplay(false);
            states.clear();
            continue;
        }
        const auto &records = std::get<platform::KeyedRecords>(answer);
        if (count > 0 && records.era != era) {
            throw UnreachableError("the store was restored while the history of the endpoints was read");
        }
        era = records.era;
        for (const platform::KeyedRecord &record : records.records) {
            observe(record, span, replay, states);
        }
        complete = complete || (from == Offset(0) && !records.records.empty());
        count += records.records.size();
        more = records.next < records.end && !records.records.empty();
        from = records.next;
    }
    if (gateway_.streams.versions().gapCount() != gaps) {
        throw UnreachableError("versions may have been missed while the history of the endpoints was read");
    }
    recordStates(states, span);
    const Duration covered = complete ? coverageOf(replay) : gateway_.settings.heartbeatInterval * span.intervals();
    gateway_.streams.versions().recordCoverage(began - covered);
    logEvent(LogEvent::EndpointHistoryRead, {{"records", count}, {"covered_ms", covered}, {"complete", complete}});
    readAtGap_ = gaps;
}

void EndpointHistory::observe(const platform::KeyedRecord &record, HeartbeatSpan &span, RegistrationReplay &replay, std::vector<State> &states)
{
    std::optional<EndpointRecord> endpoint;
    try {
        endpoint = record.value ? std::optional(platform::decodeEndpoint(record.key, *record.value)) : std::nullopt;
    } catch (const MalformedInputError &error) {
        // An entry that cannot be read names no endpoint, so no stream comes from it.
        gateway_.metrics.increment("mimosatally_endpoint_history_unreadable_total", {});
    }
    if (endpoint) {
        gateway_.streams.versions().observe(endpoint->service, endpoint->version, MilliClock::now());
        span.add(*endpoint);
    }
    replay.apply(EndpointId(record.key), endpoint, [&](const RegisteredSlots &slots) {
        states.push_back({span.size(), slots});
    });
}

void EndpointHistory::recordStates(const std::vector<State> &states, const HeartbeatSpan &span)
{
    OriginRules &rules = gateway_.streams.rules();
    for (std::size_t i = 0; i < states.size(); ++i) {
        const std::size_t end = i + 1 < states.size() ? states[i + 1].place : span.size();
        // A state that ended before the window is not possible any more.
        if (gateway_.settings.heartbeatInterval * span.intervalsAfter(end) <= rules.window()) {
            rules.recordEarlierSlots(states[i].slots, MilliClock::now());
        }
    }
}

Duration EndpointHistory::coverageOf(const RegistrationReplay &replay) const
{
    // Before the first repeated heartbeat, the states of the endpoints are not known, only their versions are.
    return replay.isWhole() ? VersionHistory::COMPLETE_COVERAGE : gateway_.streams.lifetime();
}

} // namespace mimosatally::internal
