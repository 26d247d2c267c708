#include "gateway/peerdatagram.h"
#include "gateway/usagecounter.h"

#include "mimosatally.capnp.h"

#include <capnp/serialize.h>
#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;

namespace
{
const RegionId REGION("a-region-with-a-long-name");

UsageNotice noticeOf(std::size_t organisations, std::int64_t window)
{
    UsageNotice notice = {ProcessId(std::string(MAX_USAGE_PROCESS_BYTES, 'p')), UsageWindow(window), 7, true, {}, std::nullopt};
    for (std::size_t i = 0; i < organisations; ++i) {
        notice.counts[OrganisationId("organisation " + std::to_string(i))] = static_cast<std::int64_t>(i) + 1;
    }
    notice.closedTotal = static_cast<std::int64_t>(organisations * (organisations + 1) / 2);
    return notice;
}

/// \brief Datagram with one usage notice that \a spoil changes.
template<class Spoil>
std::string spoilt(Spoil spoil)
{
    capnp::MallocMessageBuilder builder;
    auto message = builder.initRoot<schema::PeerDatagram>();
    auto notice = message.initUsageNotices(1)[0];
    notice.setProcess("g1@5");
    notice.initOrganisations(1).set(0, 1);
    notice.initCounts(1).set(0, 1);
    spoil(message, notice);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    return {words.asChars().begin(), words.asChars().size()};
}
} // namespace

// Guards against datagrams that are fragmented, and against counts that get lost between them.
TEST_CASE("Usage notices of any length are told in datagrams that are not fragmented", "[usage]")
{
    const std::size_t organisations = GENERATE(0, 1, 72, 1200);
    std::vector<UsageNotice> notices;
    for (std::int64_t window = 0; window < UsageLedger::MAX_WINDOWS + 2; ++window) {
        notices.push_back(noticeOf(organisations, 353'445'120 + window));
    }
    UsageNotice tooLong = noticeOf(1, 1);
    tooLong.process = ProcessId(std::string(MAX_USAGE_PROCESS_BYTES + 1, 'p'));
    notices.push_back(tooLong);
    std::map<UsageWindow, std::int64_t> sums;
    for (const PeerDatagram &datagram : batchUsageNotices(REGION, notices)) {
        const std::string bytes = encodeDatagram(datagram);
        CHECK(bytes.size() <= MAX_DATAGRAM_BYTES);
        const PeerDatagram decoded = decodeDatagram(bytes);
        CHECK(decoded.usageNotices == datagram.usageNotices);
        for (const HashedUsageNotice &notice : decoded.usageNotices) {
            CHECK(notice.closedTotal == notices[0].closedTotal);
            for (const HashedCount &count : notice.counts) {
                sums[notice.window] += count.count;
            }
            sums[notice.window] += 0;
        }
    }
    CHECK(sums.size() == notices.size() - 1);
    for (const auto &[window, sum] : sums) {
        CHECK(sum == *notices[0].closedTotal);
    }
}

// Guards against the counts of many organisations that are hashed at once, which stops the event loop.
TEST_CASE("Usage datagrams are made in small steps", "[usage]")
{
    std::size_t steps = 0;
    const Checkpoint count = [&steps] {
        ++steps;
    };
    const std::vector<UsageNotice> notices = {noticeOf(1200, 1), noticeOf(1200, 2), noticeOf(1, 3)};
    const std::vector<PeerDatagram> datagrams = batchUsageNotices(REGION, notices, count);
    CHECK(datagrams.size() > 24);
    CHECK(steps == datagrams.size());
}

// Guards against heartbeats that are fragmented because of the fields on usage, and against values that a peer made up.
TEST_CASE("The fields on usage leave heartbeats their size, and hostile values are rejected", "[usage]")
{
    PeerDatagram heartbeat;
    heartbeat.region = REGION;
    heartbeat.unixMs = FleetClock::MAX_UNIX_MS;
    heartbeat.lastWritten = UsageWindow(353'445'120);
    heartbeat.limitNotices.resize(MAX_LIMIT_NOTICES_PER_DATAGRAM);
    heartbeat.peers.assign(MAX_PEERS_PER_DATAGRAM, {{boost::asio::ip::make_address("255.255.255.255"), 65'535}, REGION});
    const std::string bytes = encodeDatagram(heartbeat);
    CHECK(bytes.size() <= MAX_DATAGRAM_BYTES);
    CHECK(decodeDatagram(bytes).unixMs == heartbeat.unixMs);
    CHECK(decodeDatagram(bytes).lastWritten == heartbeat.lastWritten);

    using Message = schema::PeerDatagram::Builder;
    using Notice = schema::UsageNotice::Builder;
    const auto isRejected = [](const std::string &datagram) {
        try {
            decodeDatagram(datagram);
            return false;
        } catch (const MalformedInputError &) {
            return true;
        }
    };
    CHECK_FALSE(isRejected(spoilt([](Message, Notice) {})));
    CHECK(isRejected(spoilt([](Message message, Notice) {
        message.setUnixMs(-1);
    })));
    CHECK(isRejected(spoilt([](Message message, Notice) {
        message.setUnixMs(FleetClock::MAX_UNIX_MS + 1);
    })));
    CHECK(isRejected(spoilt([](Message message, Notice) {
        message.setLastWrittenWindow(-1);
    })));
    CHECK(isRejected(spoilt([](Message, Notice notice) {
        notice.setWindow(-1);
    })));
    CHECK(isRejected(spoilt([](Message, Notice notice) {
        notice.setClosedTotal(-2);
    })));
    CHECK(isRejected(spoilt([](Message, Notice notice) {
        notice.setProcess("");
    })));
    CHECK(isRejected(spoilt([](Message, Notice notice) {
        notice.setProcess(std::string(MAX_USAGE_PROCESS_BYTES + 1, 'p'));
    })));
    CHECK(isRejected(spoilt([](Message, Notice notice) {
        notice.initCounts(2);
    })));
    CHECK(isRejected(spoilt([](Message message, Notice) {
        message.initUsageNotices(MAX_USAGE_NOTICES_PER_DATAGRAM + 1);
    })));
}

// Guards against usage of deployments that do not report it, of calls without an organisation, and against late counts in a window that was told as closed.
TEST_CASE("Runs count in their window until 2 s after its end, and only if usage is reported", "[usage]")
{
    GatewaySettings settings;
    settings.platformApi.reportsUsage = true;
    Metrics metrics;
    FleetClock clock;
    UsageLedger ledger(ProcessId("self"));
    UsageCounter counter(ledger, clock, settings, metrics);
    const OrganisationId huka("huka270");
    const UsageWindow window(353'445'120);
    const Time start = Time(Duration(1'000'000));
    const auto update = [&](Duration after) {
        counter.update(window.count() * 5000 + after.count(), start + after);
    };
    update(Duration(0));
    counter.count(huka, start + Duration(100));
    counter.count(OrganisationId(), start + Duration(100));
    update(Duration(6999));
    counter.count(huka, start + Duration(4999));
    CHECK(ledger.totals(window).counts == UsageCounts {{huka, 2}});
    update(Duration(7000));
    counter.count(huka, start + Duration(4999));
    CHECK(ledger.totals(window).counts == UsageCounts {{huka, 2}});
    CHECK(metrics.exposition().find("mimosatally_usage_runs_total{result=\"late\"} 1") != std::string::npos);
    settings.platformApi.reportsUsage = false;
    counter.count(huka, start + Duration(7000));
    CHECK(ledger.totals(window + UsageWindow(1)).counts.empty());
}
