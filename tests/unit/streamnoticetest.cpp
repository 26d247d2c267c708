#include "coroutinerunner.h"

#include "gateway/peerdatagram.h"
#include "gateway/streamlookup.h"

#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace mimosatally;
using internal::PeerDatagram;
using internal::StreamLookup;
using internal::StreamNotice;
using internal::StreamOrigin;
using internal::StreamTracker;

namespace
{
const RegionId REGION("a-region-with-a-long-name");
const ServiceId MODEL("model");
const StreamOrigin OLD = {MODEL, SoftwareVersion("v1")};
const StreamOrigin NEW = {MODEL, SoftwareVersion("v2")};

std::vector<RequestId> roots(std::size_t count, std::size_t length)
{
    std::vector<RequestId> result;
    for (std::size_t i = 0; i < count; ++i) {
        std::string id = std::to_string(i);
        id.resize(length, 'x');
        result.emplace_back(std::move(id));
    }
    return result;
}

/// \brief Lookup with a tracker that knows both versions of MODEL, so that an origin has to be recorded or told.
struct Fixture {
    Fixture()
    {
        const Time now = MilliClock::now();
        tracker.versions().recordCoverage(now - Duration(60'000));
        tracker.versions().observe(MODEL, OLD.version, now);
    }

    /// \brief Tells of \a notice after \a delay, as the receiving task does.
    void tellAfter(Duration delay, const StreamNotice &notice)
    {
        timer.expires_after(delay);
        timer.async_wait([this, notice](const boost::system::error_code &) {
            tracker.recordNotice(notice, MilliClock::now());
            lookup.wake(notice.roots);
        });
    }

    std::optional<StreamOrigin> lookUp(const RequestId &root)
    {
        std::optional<StreamOrigin> result;
        test::runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
            result = co_await lookup.lookUp(root, MODEL);
        });
        io.restart();
        return result;
    }

    boost::asio::io_context io;
    Metrics metrics;
    StreamTracker tracker {metrics};
    internal::StoreObservation observation {io};
    StreamLookup lookup {io, tracker, observation, metrics};
    boost::asio::steady_timer timer {io};
};

bool counted(const Metrics &metrics, const std::string &outcome)
{
    return metrics.exposition().find("mimosatally_stream_lookups_total{outcome=\"" + outcome + "\"} 1") != std::string::npos;
}
} // namespace

// Guards against origins that get lost or change between two gateways.
TEST_CASE("Stream notices and queries keep their content when encoded and decoded", "[streams]")
{
    PeerDatagram datagram;
    datagram.region = REGION;
    datagram.streamNotices = {{OLD, roots(2, 36)}, {{ServiceId("m2"), SoftwareVersion()}, roots(1, 128)}, {NEW, {}}};
    datagram.streamQueries = roots(3, 20);
    const PeerDatagram decoded = internal::decodeDatagram(internal::encodeDatagram(datagram));
    REQUIRE(decoded.streamNotices.size() == 3);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(decoded.streamNotices[i].origin == datagram.streamNotices[i].origin);
        CHECK(decoded.streamNotices[i].roots == datagram.streamNotices[i].roots);
    }
    CHECK(decoded.streamQueries == datagram.streamQueries);
}

// Guards against datagrams that are too long for a packet or that the receiver rejects, and against streams that are left out of all of them.
TEST_CASE("Batches of stream notices and queries fit into datagrams and lose no stream", "[streams]")
{
    const std::size_t length = GENERATE(1, 7, 36, 128);
    const std::size_t nameLength = GENERATE(1, 64);
    std::vector<StreamNotice> notices;
    for (int i = 0; i < 40; ++i) {
        std::string name = std::to_string(i);
        name.resize(std::max(nameLength, name.size()), 's');
        notices.push_back({{ServiceId(name), SoftwareVersion(std::string(nameLength, 'v'))}, roots(i % 2 == 0 ? 0 : 30, length)});
    }
    std::size_t announced = 0;
    std::size_t versions = 0;
    for (const PeerDatagram &datagram : internal::batchStreamNotices(REGION, notices)) {
        const std::string bytes = internal::encodeDatagram(datagram);
        CHECK(bytes.size() <= internal::MAX_DATAGRAM_BYTES);
        for (const StreamNotice &notice : internal::decodeDatagram(bytes).streamNotices) {
            announced += notice.roots.size();
            versions += notice.roots.empty() ? 1 : 0;
        }
    }
    CHECK(announced == 20 * 30);
    CHECK(versions == 20);
    std::size_t asked = 0;
    for (const PeerDatagram &datagram : internal::batchStreamQueries(REGION, roots(500, length))) {
        const std::string bytes = internal::encodeDatagram(datagram);
        CHECK(bytes.size() <= internal::MAX_DATAGRAM_BYTES);
        asked += internal::decodeDatagram(bytes).streamQueries.size();
    }
    CHECK(asked == 500);
}

// Guards against a name of the operator that is too long for a notice and makes receivers reject the other notices with it.
TEST_CASE("A notice with too long a name is not sent", "[streams]")
{
    const std::vector<StreamNotice> notices = {{{ServiceId(std::string(65, 's')), OLD.version}, roots(1, 5)}, {OLD, roots(1, 5)}};
    const std::vector<PeerDatagram> datagrams = internal::batchStreamNotices(REGION, notices);
    REQUIRE(datagrams.size() == 1);
    REQUIRE(datagrams[0].streamNotices.size() == 1);
    CHECK(datagrams[0].streamNotices[0].origin == OLD);
}

// Guards against memory and time that a forged datagram takes up beyond the bounds.
TEST_CASE("Datagrams with too many or too long names of streams are rejected", "[streams]")
{
    const auto rejects = [](const PeerDatagram &datagram) {
        CHECK_THROWS_AS(internal::decodeDatagram(internal::encodeDatagram(datagram)), MalformedInputError);
    };
    PeerDatagram datagram;
    datagram.streamNotices.assign(internal::MAX_STREAM_NOTICES_PER_DATAGRAM + 1, {OLD, {}});
    rejects(datagram);
    datagram.streamNotices = {{OLD, {RequestId()}}};
    rejects(datagram);
    datagram.streamNotices = {{OLD, {RequestId(std::string(129, 'x'))}}};
    rejects(datagram);
    datagram.streamNotices = {{{ServiceId(), OLD.version}, {}}};
    rejects(datagram);
    datagram.streamNotices = {{{ServiceId(std::string(65, 's')), OLD.version}, {}}};
    rejects(datagram);
    datagram.streamNotices = {{{MODEL, SoftwareVersion(std::string(65, 'v'))}, {}}};
    rejects(datagram);
    datagram.streamNotices = {{OLD, roots(65, 1)}};
    rejects(datagram);
    datagram.streamNotices.clear();
    datagram.streamQueries = roots(65, 1);
    rejects(datagram);
    datagram.streamQueries = {RequestId()};
    rejects(datagram);
}

// Guards against questions to other gateways whose answers are known.
TEST_CASE("A lookup asks nobody if the origin is recorded", "[streams]")
{
    Fixture fixture;
    int asked = 0;
    fixture.lookup.setAsk([&](const std::vector<RequestId> &) {
        ++asked;
        return true;
    });
    fixture.tracker.streamBegan(RequestId("own"), NEW, MilliClock::now());
    CHECK(fixture.lookUp(RequestId("own")) == NEW);
    CHECK(counted(fixture.metrics, "recorded"));
    CHECK(asked == 0);
}

// Guards against a lost datagram that makes a known stream count as unknown.
TEST_CASE("A lookup asks again after its first wait and takes the origin that it is told", "[streams]")
{
    Fixture fixture;
    fixture.tracker.versions().observe(MODEL, NEW.version, MilliClock::now());
    int asked = 0;
    fixture.lookup.setAsk([&](const std::vector<RequestId> &questions) {
        asked += static_cast<int>(questions.size());
        if (asked == 2) {
            fixture.tellAfter(Duration(1), {NEW, questions});
        }
        return true;
    });
    const Time began = MilliClock::now();
    CHECK(fixture.lookUp(RequestId("s")) == NEW);
    CHECK(asked == 2);
    CHECK(MilliClock::now() - began >= StreamLookup::FIRST_WAIT);
    CHECK(counted(fixture.metrics, "peer"));
}

// Guards against a call that waits on and on for an origin that nobody knows, and against a wait where there is nobody to ask.
TEST_CASE("A lookup that nobody answers ends without an origin", "[streams]")
{
    Fixture fixture;
    fixture.tracker.versions().observe(MODEL, NEW.version, MilliClock::now());
    bool hasPeers = true;
    int asked = 0;
    fixture.lookup.setAsk([&](const std::vector<RequestId> &questions) {
        asked += static_cast<int>(questions.size());
        return hasPeers;
    });
    const Time began = MilliClock::now();
    CHECK_FALSE(fixture.lookUp(RequestId("s")));
    CHECK(asked == 2);
    CHECK(MilliClock::now() - began >= StreamLookup::MAX_WAIT);
    CHECK(counted(fixture.metrics, "unknown"));
    hasPeers = false;
    CHECK_FALSE(fixture.lookUp(RequestId("s2")));
    CHECK_FALSE(fixture.lookUp(RequestId()));
    CHECK(asked == 2);
}

// Guards against a conflict that counts as unknown and is resolved by the next answer.
TEST_CASE("A lookup of a stream with conflicting origins ends at once without an origin", "[streams]")
{
    Fixture fixture;
    fixture.tracker.recordNotice({OLD, {RequestId("s")}}, MilliClock::now());
    fixture.tracker.recordNotice({NEW, {RequestId("s")}}, MilliClock::now());
    CHECK_FALSE(fixture.lookUp(RequestId("s")));
    CHECK(counted(fixture.metrics, "conflicting"));
}
