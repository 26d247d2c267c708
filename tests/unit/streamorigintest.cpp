#include "gateway/endpointhistory.h"
#include "streams/streamtracker.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using internal::StreamNotice;
using internal::StreamOrigin;
using internal::StreamOrigins;
using internal::StreamTracker;
using internal::VersionHistory;

namespace
{
const ServiceId MODEL("model");
const ServiceId OTHER_MODEL("other-model");
const StreamOrigin OLD = {MODEL, SoftwareVersion("v1")};
const StreamOrigin NEW = {MODEL, SoftwareVersion("v2")};
constexpr Duration LIFETIME = Duration(15'000);

Time at(std::int64_t ms)
{
    return Time(Duration(ms));
}

RequestId stream(std::size_t number)
{
    return RequestId("stream-" + std::to_string(number));
}

std::size_t countRoots(const std::vector<StreamNotice> &notices)
{
    std::size_t count = 0;
    for (const StreamNotice &notice : notices) {
        count += notice.roots.size();
    }
    return count;
}

EndpointRecord heartbeat(const char *endpoint, std::int64_t number, std::int64_t startedAt = 1)
{
    EndpointRecord record;
    record.id = EndpointId(endpoint);
    record.startedAt = startedAt;
    record.heartbeat = number;
    return record;
}
} // namespace

// Guards against streams that are joined although the version of their first event is in doubt: two gateways recorded different ones.
TEST_CASE("A stream with two recorded origins is never joinable again", "[streams]")
{
    StreamOrigins origins;
    CHECK(origins.record(stream(1), OLD, at(0)) == StreamOrigins::Result::Recorded);
    CHECK(origins.record(stream(1), OLD, at(1)) == StreamOrigins::Result::Recorded);
    REQUIRE(origins.find(stream(1), at(2)) != nullptr);
    CHECK(origins.find(stream(1), at(2))->joinable);
    CHECK(origins.record(stream(1), NEW, at(2)) == StreamOrigins::Result::Conflicting);
    CHECK_FALSE(origins.find(stream(1), at(3))->joinable);
    CHECK(origins.record(stream(1), OLD, at(4)) == StreamOrigins::Result::Recorded);
    CHECK_FALSE(origins.find(stream(1), at(5))->joinable);
    CHECK(origins.record(stream(2), {OTHER_MODEL, OLD.version}, at(5)) == StreamOrigins::Result::Recorded);
    CHECK(origins.record(stream(2), OLD, at(5)) == StreamOrigins::Result::Conflicting);
}

// Guards against a stream of an endpoint without a version that is joined to one of another endpoint without a version.
TEST_CASE("A stream without a version is not joinable", "[streams]")
{
    StreamOrigins origins;
    origins.record(stream(1), {MODEL, SoftwareVersion()}, at(0));
    CHECK_FALSE(origins.find(stream(1), at(0))->joinable);
    origins.record(stream(1), {MODEL, SoftwareVersion()}, at(1));
    CHECK_FALSE(origins.find(stream(1), at(1))->joinable);
}

// Guards against memory that grows with the number of streams or with forged notices, and against origins that are forgotten too early.
TEST_CASE("Origins are kept for their lifetime and up to a bound, the oldest are forgotten first", "[streams]")
{
    StreamOrigins origins;
    origins.setLifetime(LIFETIME);
    origins.record(stream(1), OLD, at(0));
    CHECK(origins.find(stream(1), at(15'000)) != nullptr);
    CHECK(origins.find(stream(1), at(15'001)) == nullptr);
    for (std::size_t i = 0; i <= StreamOrigins::MAX_STREAMS; ++i) {
        origins.record(stream(i), OLD, at(20'000));
    }
    CHECK(origins.size() == StreamOrigins::MAX_STREAMS);
    CHECK(origins.find(stream(0), at(20'000)) == nullptr);
    CHECK(origins.find(stream(1), at(20'000)) != nullptr);
    // Recording a stream again keeps it longer than the others.
    origins.record(stream(1), OLD, at(20'001));
    origins.record(RequestId("further"), OLD, at(20'001));
    CHECK(origins.find(stream(1), at(20'001)) != nullptr);
    CHECK(origins.find(stream(2), at(20'001)) == nullptr);
    CHECK(origins.record(RequestId(std::string(129, 'x')), OLD, at(20'001)) == StreamOrigins::Result::Rejected);
    CHECK(origins.record(RequestId(), OLD, at(20'001)) == StreamOrigins::Result::Rejected);
}

// Guards against the conclusion that a stream comes from the version at hand when another one served shortly before.
TEST_CASE("The only version of a service is known after the whole lifetime without another one", "[streams]")
{
    VersionHistory history;
    history.setLifetime(LIFETIME);
    history.observe(MODEL, OLD.version, at(0));
    CHECK_FALSE(history.onlyVersion(MODEL, at(0)));
    CHECK_FALSE(history.onlyVersion(MODEL, at(60'000)));
    history.recordRead(false, at(0));
    history.observe(MODEL, OLD.version, at(14'999));
    CHECK_FALSE(history.onlyVersion(MODEL, at(14'999)));
    CHECK(history.onlyVersion(MODEL, at(15'000)) == OLD.version);
    CHECK_FALSE(history.onlyVersion(OTHER_MODEL, at(15'000)));
    CHECK_FALSE(history.isMixed(MODEL, at(15'000)));

    history.observe(MODEL, NEW.version, at(16'000));
    CHECK(history.isMixed(MODEL, at(16'000)));
    CHECK_FALSE(history.onlyVersion(MODEL, at(16'000)));
    CHECK(history.mixedVersions(at(16'000)).size() == 2);
    // The old version is last seen at 20 s; its first events can come 5 s later.
    history.observe(MODEL, OLD.version, at(20'000));
    history.observe(MODEL, NEW.version, at(40'000));
    CHECK(history.isMixed(MODEL, at(40'000)));
    history.observe(MODEL, NEW.version, at(40'001));
    CHECK(history.onlyVersion(MODEL, at(40'001)) == NEW.version);
}

// Guards against equal version names of two services that count as one, and against an endpoint without a version that counts as the known one.
TEST_CASE("Versions belong to their services, and an unknown version is a version of its own", "[streams]")
{
    VersionHistory history;
    history.recordCoverage(at(-60'000));
    history.observe(MODEL, OLD.version, at(0));
    history.observe(OTHER_MODEL, NEW.version, at(0));
    CHECK(history.onlyVersion(MODEL, at(0)) == OLD.version);
    CHECK(history.onlyVersion(OTHER_MODEL, at(0)) == NEW.version);
    history.observe(MODEL, SoftwareVersion(), at(1));
    CHECK_FALSE(history.onlyVersion(MODEL, at(1)));
    CHECK(history.isMixed(MODEL, at(1)));
    VersionHistory unknown;
    unknown.recordCoverage(at(-60'000));
    unknown.observe(MODEL, SoftwareVersion(), at(0));
    CHECK_FALSE(unknown.onlyVersion(MODEL, at(0)));
}

// Guards against a version that was registered only while this process did not read the store and is taken for one that never was.
TEST_CASE("A long gap between reads begins the lifetime anew unless the read was complete", "[streams]")
{
    VersionHistory history;
    history.setLifetime(LIFETIME);
    history.recordRead(false, at(0));
    history.observe(MODEL, OLD.version, at(20'000));
    history.recordRead(true, at(20'000));
    CHECK(history.onlyVersion(MODEL, at(20'000)) == OLD.version);
    history.recordRead(false, at(23'000));
    CHECK(history.onlyVersion(MODEL, at(23'000)) == OLD.version);
    CHECK(history.gapCount() == 0);
    history.recordRead(false, at(26'001));
    CHECK(history.gapCount() == 1);
    history.observe(MODEL, OLD.version, at(41'000));
    CHECK_FALSE(history.onlyVersion(MODEL, at(41'000)));
    CHECK(history.onlyVersion(MODEL, at(41'001)) == OLD.version);
    // What the store's history shows counts as watched.
    history.recordRead(false, at(50'000));
    CHECK_FALSE(history.onlyVersion(MODEL, at(50'000)));
    history.recordCoverage(at(35'000));
    CHECK(history.onlyVersion(MODEL, at(50'000)) == OLD.version);
}

// Guards against memory that grows with forged notices, and against a conclusion from a history that had no room for a service.
TEST_CASE("The history of versions is bounded, and what had no room counts as a gap", "[streams]")
{
    VersionHistory history;
    history.recordCoverage(at(-60'000));
    for (std::size_t i = 0; i < 20; ++i) {
        history.observe(MODEL, SoftwareVersion("v" + std::to_string(i)), at(static_cast<std::int64_t>(i)));
    }
    CHECK(history.mixedVersions(at(20)).size() == VersionHistory::MAX_VERSIONS);
    for (std::size_t i = 1; i < VersionHistory::MAX_SERVICES; ++i) {
        history.observe(ServiceId("s" + std::to_string(i)), OLD.version, at(20));
    }
    CHECK(history.onlyVersion(ServiceId("s1"), at(20)) == OLD.version);
    history.observe(ServiceId("one-more"), OLD.version, at(21));
    CHECK_FALSE(history.onlyVersion(ServiceId("s1"), at(21)));
    // Services that are not seen any more make room.
    history.observe(ServiceId("one-more"), OLD.version, at(40'000));
    CHECK(history.onlyVersion(ServiceId("one-more"), at(40'000)) == OLD.version);
}

// Guards against datagrams for each stream in the usual case of one version, and against streams in flight that nobody is told of when a second one comes.
TEST_CASE("Streams in flight are announced while their service has several versions, each once", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.streamBegan(stream(1), OLD, at(0));
    tracker.streamBegan(stream(2), OLD, at(0));
    tracker.streamBegan(stream(3), {OTHER_MODEL, OLD.version}, at(0));
    CHECK(tracker.takeNotices(100, at(1)).empty());
    CHECK_FALSE(tracker.streamEnded(stream(2), StreamTracker::End::Broken, at(2)));

    tracker.versions().observe(MODEL, NEW.version, at(10));
    CHECK(tracker.takeChangedVersions(at(10)).size() == 2);
    CHECK(tracker.takeChangedVersions(at(11)).empty());
    tracker.streamBegan(stream(4), NEW, at(11));
    // Ends within one interval of sending, so nobody is told of it.
    tracker.streamBegan(stream(5), NEW, at(11));
    CHECK_FALSE(tracker.streamEnded(stream(5), StreamTracker::End::Complete, at(12)));
    const std::vector<StreamNotice> notices = tracker.takeNotices(100, at(12));
    REQUIRE(notices.size() == 2);
    // The stream that broke off before the second version came is announced with those in flight.
    CHECK(countRoots(notices) == 3);
    for (const StreamNotice &notice : notices) {
        CHECK(notice.roots == (notice.origin == OLD ? std::vector<RequestId> {stream(2), stream(1)} : std::vector<RequestId> {stream(4)}));
    }
    CHECK(tracker.takeNotices(100, at(13)).empty());
    // It was announced before, so its end needs no datagram.
    CHECK_FALSE(tracker.streamEnded(stream(4), StreamTracker::End::Broken, at(14)));
}

// Guards against a stream whose gateway is killed after a second version has joined: nobody else could tell its version.
TEST_CASE("A stream that broke off before its service got a second version is announced when it does", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.extendLifetime(LIFETIME);
    for (std::size_t i = 0; i < 3; ++i) {
        tracker.streamBegan(stream(i), i == 2 ? StreamOrigin {OTHER_MODEL, OLD.version} : OLD, at(0));
    }
    CHECK_FALSE(tracker.streamEnded(stream(0), StreamTracker::End::Broken, at(1)));
    CHECK_FALSE(tracker.streamEnded(stream(1), StreamTracker::End::Complete, at(1)));
    CHECK_FALSE(tracker.streamEnded(stream(2), StreamTracker::End::Broken, at(1)));
    tracker.versions().observe(MODEL, OLD.version, at(15'001));
    tracker.versions().observe(MODEL, NEW.version, at(15'001));
    CHECK(tracker.takeChangedVersions(at(15'001)).size() == 2);
    const std::vector<StreamNotice> notices = tracker.takeNotices(100, at(15'001));
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].origin == OLD);
    CHECK(notices[0].roots == std::vector<RequestId> {stream(0)});
    CHECK(tracker.takeNotices(100, at(15'002)).empty());
    CHECK(tracker.takeChangedVersions(at(15'002)).empty());
}

// Guards against notices of streams that nobody takes up any more, and against memory that grows with broken streams.
TEST_CASE("Streams that broke off are remembered for the lifetime of an origin and up to a bound", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.extendLifetime(LIFETIME);
    constexpr std::size_t bound = 1024;
    const Time late = at(15'002);
    for (std::size_t i = 0; i < bound + 10; ++i) {
        tracker.streamBegan(stream(i), OLD, i < 20 ? at(0) : at(10'000));
        tracker.streamEnded(stream(i), StreamTracker::End::Broken, i < 20 ? at(0) : at(10'000));
    }
    tracker.versions().observe(MODEL, NEW.version, late);
    tracker.takeChangedVersions(late);
    CHECK(countRoots(tracker.takeNotices(2 * bound, late)) == bound - 10);
}

// Guards against a stream whose caller continues it at another gateway before that gateway has been told of it.
TEST_CASE("A stream that breaks off before it was announced is announced at once", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.versions().observe(MODEL, OLD.version, at(0));
    tracker.streamBegan(stream(1), NEW, at(0));
    CHECK(tracker.streamEnded(stream(1), StreamTracker::End::Broken, at(1)));
    const std::vector<StreamNotice> notices = tracker.takeNotices(100, at(1));
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].origin == NEW);
    CHECK(notices[0].roots == std::vector<RequestId> {stream(1)});
    CHECK_FALSE(tracker.streamEnded(stream(1), StreamTracker::End::Broken, at(2)));
}

// Guards against a stream that is not announced because its caller continues it here while the first attempt still runs.
TEST_CASE("A stream with two attempts stays in flight until both have ended", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.streamBegan(stream(1), OLD, at(0));
    tracker.streamBegan(stream(1), OLD, at(1));
    CHECK_FALSE(tracker.streamEnded(stream(1), StreamTracker::End::Complete, at(2)));
    tracker.versions().observe(MODEL, NEW.version, at(3));
    CHECK(countRoots(tracker.takeNotices(100, at(3))) == 1);
    CHECK_FALSE(tracker.streamEnded(stream(1), StreamTracker::End::Complete, at(4)));
    CHECK(countRoots(tracker.takeNotices(100, at(5))) == 0);
}

// Guards against a burst of datagrams when a service with many streams in flight gets a second version.
TEST_CASE("A call for notices takes no more streams than it asks for, and the next one the others", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.versions().observe(MODEL, NEW.version, at(0));
    for (std::size_t i = 0; i < 250; ++i) {
        tracker.streamBegan(stream(i), OLD, at(0));
    }
    CHECK(countRoots(tracker.takeNotices(100, at(1))) == 100);
    CHECK(countRoots(tracker.takeNotices(100, at(2))) == 100);
    CHECK(countRoots(tracker.takeNotices(100, at(3))) == 50);
}

// Guards against a conclusion from the versions that are known now that passes for a record of the stream.
TEST_CASE("Only what is recorded of a stream tells its origin", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.versions().recordCoverage(at(-60'000));
    tracker.versions().observe(MODEL, OLD.version, at(0));
    CHECK_FALSE(tracker.find(stream(1), at(0)).origin);
    CHECK_FALSE(tracker.answerTo(stream(1), at(0)));
    tracker.streamBegan(stream(2), OLD, at(3001));
    CHECK(tracker.find(stream(2), at(3001)).origin == OLD);
    CHECK(tracker.find(stream(2), at(3002)).recordedAt == at(3001));
}

// Guards against a stream that lasts longer than its record is kept and whose version is then unknown, or is taken for another one.
TEST_CASE("The origin of an own stream is known for as long as the stream is in flight", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.streamBegan(stream(1), OLD, at(0));
    tracker.streamBegan(stream(2), OLD, at(0));
    tracker.recordNotice({NEW, {stream(2)}}, at(1));
    tracker.streamBegan(stream(3), {MODEL, SoftwareVersion()}, at(0));
    // Another record makes room for the expired ones.
    tracker.streamBegan(stream(4), OLD, at(100'000));
    CHECK(tracker.find(stream(1), at(100'000)).origin == OLD);
    CHECK(tracker.answerTo(stream(1), at(100'000)).value().origin == OLD);
    CHECK(tracker.find(stream(2), at(100'000)).neverJoined);
    CHECK(tracker.answerTo(stream(2), at(100'000)).value().origin.version.empty());
    CHECK(tracker.find(stream(3), at(100'000)).neverJoined);
    tracker.streamEnded(stream(1), StreamTracker::End::Broken, at(100'000));
    CHECK(tracker.find(stream(1), at(115'000)).origin == OLD);
    CHECK_FALSE(tracker.find(stream(1), at(115'001)).origin);
}

// Guards against a gateway that trusts its own record more than that of another one: after a restart in place either can be wrong.
TEST_CASE("An own stream of which another gateway tells another version is never joined", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.streamBegan(stream(1), OLD, at(0));
    CHECK(tracker.find(stream(1), at(0)).origin == OLD);
    tracker.recordNotice({NEW, {stream(1)}}, at(1));
    CHECK(tracker.find(stream(1), at(1)).neverJoined);
    CHECK(metrics.exposition().find("mimosatally_stream_origin_conflicts_total 1") != std::string::npos);
}

// Guards against a conflict that only one gateway knows of: the one that asks must not conclude the only version instead.
TEST_CASE("A conflicting origin is told to others as one that is never joined", "[streams]")
{
    Metrics metrics;
    StreamTracker tracker(metrics);
    tracker.recordNotice({OLD, {stream(1)}}, at(0));
    tracker.recordNotice({NEW, {stream(1)}}, at(0));
    CHECK(tracker.find(stream(1), at(0)).neverJoined);
    const std::optional<StreamNotice> answer = tracker.answerTo(stream(1), at(0));
    REQUIRE(answer);
    CHECK(answer->origin.version.empty());
    CHECK_FALSE(tracker.answerTo(stream(2), at(0)));

    StreamTracker asking(metrics);
    asking.versions().recordCoverage(at(-60'000));
    asking.versions().observe(MODEL, OLD.version, at(0));
    asking.recordNotice(*answer, at(0));
    CHECK(asking.find(stream(1), at(0)).neverJoined);
    CHECK_FALSE(asking.find(stream(1), at(0)).origin);
    // The notice without a version names no version that is registered.
    CHECK_FALSE(asking.versions().isMixed(MODEL, at(0)));
}

// Guards against a history of the store that counts as reaching back further than it does.
TEST_CASE("The span of a history is counted in heartbeats of one start of an endpoint", "[streams]")
{
    HeartbeatSpan span;
    CHECK(span.intervals() == 0);
    span.add(heartbeat("e1", 7));
    CHECK(span.intervals() == 0);
    // Another writer can name any number, so the numbers themselves do not count.
    span.add(heartbeat("e1", 1000));
    CHECK(span.intervals() == 1);
    span.add(heartbeat("e1", 1000));
    CHECK(span.intervals() == 1);
    EndpointRecord leaving = heartbeat("e1", 1001);
    leaving.leaving = true;
    span.add(leaving);
    CHECK(span.intervals() == 1);
    span.add(heartbeat("e2", 1));
    span.add(heartbeat("e2", 2));
    span.add(heartbeat("e2", 3));
    CHECK(span.intervals() == 2);
    span.add(heartbeat("e2", 4, 2));
    CHECK(span.intervals() == 2);
    // A record that was told before it is read again, with those that precede it, counts once.
    span.add(heartbeat("e3", 1));
    span.add(heartbeat("e3", 3));
    span.add(heartbeat("e3", 1));
    span.add(heartbeat("e3", 2));
    span.add(heartbeat("e3", 3));
    span.add(heartbeat("e3", 4));
    CHECK(span.intervals() == 2);
}

// Guards against gateways that tell each other for ever of a version that has left, so that no stream of an unknown origin goes on any more.
TEST_CASE("A version that has left is forgotten although gateways tell each other of it", "[streams]")
{
    VersionHistory first;
    VersionHistory second;
    first.observe(MODEL, OLD.version, at(0));
    const auto tell = [](const VersionHistory &from, VersionHistory &to, Time now) {
        for (const StreamOrigin &origin : from.observedMixedVersions(now)) {
            to.recordHeard(origin.service, origin.version, now);
        }
    };
    for (int ms = 0; ms < 60'000; ms += 500) {
        first.observe(MODEL, NEW.version, at(ms));
        second.observe(MODEL, NEW.version, at(ms));
        tell(first, second, at(ms));
        tell(second, first, at(ms));
        CHECK((ms > 15'000 || (first.isMixed(MODEL, at(ms)) && second.isMixed(MODEL, at(ms)))));
    }
    CHECK_FALSE(first.isMixed(MODEL, at(60'000)));
    CHECK_FALSE(second.isMixed(MODEL, at(60'000)));
}

// Guards against a version that began streams and that only records show which a restore of the store has lost: neither a short gap between reads nor the
// history that the copy keeps shows that there was none.
TEST_CASE("After a restore of the store no only version is known until the whole lifetime was watched", "[streams]")
{
    VersionHistory versions;
    versions.setLifetime(LIFETIME);
    versions.recordRead(true, at(0));
    versions.observe(MODEL, OLD.version, at(0));
    const Time watched = at(0) + LIFETIME;
    versions.observe(MODEL, OLD.version, watched);
    REQUIRE(versions.onlyVersion(MODEL, watched) == OLD.version);
    const Time restored = watched + Duration(1000);
    versions.recordRestore(restored);
    versions.recordRead(false, restored);
    versions.recordCoverage(at(0));
    versions.observe(MODEL, OLD.version, restored);
    CHECK_FALSE(versions.onlyVersion(MODEL, restored));
    versions.observe(MODEL, OLD.version, restored + LIFETIME);
    CHECK(versions.onlyVersion(MODEL, restored + LIFETIME) == OLD.version);
}
