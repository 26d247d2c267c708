#include "coroutinerunner.h"

#include "gateway/streamlookup.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

using namespace mimosatally;
using internal::StoreObservation;
using internal::StreamLookup;
using internal::StreamNotice;
using internal::StreamOrigin;
using internal::StreamTracker;

namespace
{
const ServiceId MODEL("model");
const StreamOrigin OLD = {MODEL, SoftwareVersion("v1")};
const StreamOrigin NEW = {MODEL, SoftwareVersion("v2")};

/// \brief Lookups in a process that has watched the store for long and knows one version, with a reader of the store that takes some time.
struct ReaderFixture {
    explicit ReaderFixture(bool covered = true)
    {
        const Time now = MilliClock::now();
        if (covered) {
            tracker.versions().recordCoverage(now - Duration(60'000));
        }
        tracker.versions().observe(MODEL, OLD.version, now);
        observation.setReadNow([this] {
            read();
        });
    }

    /// \brief Sends a read, as the following task does.
    void read()
    {
        ++reads;
        readTimes.push_back(MilliClock::now());
        observation.beginRead(readTimes.back());
        readEnd.expires_after(readTime);
        // The store answers as of when it was asked.
        readEnd.async_wait([this, showsNew = registersNew](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            if (answers) {
                if (showsNew) {
                    tracker.versions().observe(MODEL, NEW.version, MilliClock::now());
                }
                observation.recordSeenToEnd();
            }
            observation.endRead(answers);
        });
    }

    std::vector<std::optional<StreamOrigin>> lookUpAll(std::size_t count, const ServiceId &service = MODEL)
    {
        std::vector<std::optional<StreamOrigin>> results;
        for (std::size_t i = 0; i < count; ++i) {
            boost::asio::co_spawn(
                io,
                [this, i, count, &results, service]() -> boost::asio::awaitable<void> {
                    const auto origin = co_await lookup.lookUp(RequestId("s" + std::to_string(i)), service);
                    results.push_back(origin);
                    if (results.size() == count) {
                        io.stop();
                    }
                },
                boost::asio::detached);
        }
        io.run();
        io.restart();
        return results;
    }

    std::optional<StreamOrigin> lookUp()
    {
        return lookUpAll(1).front();
    }

    boost::asio::io_context io;
    Metrics metrics;
    StreamTracker tracker {metrics};
    StoreObservation observation {io};
    StreamLookup lookup {io, tracker, observation, metrics};
    boost::asio::steady_timer readEnd {io};
    Duration readTime = Duration(10);
    bool answers = true;
    /// \brief A second version is registered, which the next read shows.
    bool registersNew = false;
    int reads = 0;
    std::vector<Time> readTimes;
};
} // namespace

// Guards against a version that joined while the process stood still or was cut off, and whose streams go on at the one that it knew before.
TEST_CASE("An only version is concluded from a read that was sent after the lookup began", "[streams]")
{
    ReaderFixture fixture;
    SECTION("with one version")
    {
        CHECK(fixture.lookUp() == OLD);
    }
    SECTION("with a version that the process has not read of")
    {
        fixture.registersNew = true;
        CHECK_FALSE(fixture.lookUp());
    }
    CHECK(fixture.reads == 1);
}

// Guards against an answer that was under way when the process stood still and that counts as an observation of the time in which it is read.
TEST_CASE("A read that was sent before the lookup does not count", "[streams]")
{
    ReaderFixture fixture;
    fixture.read();
    fixture.registersNew = true;
    const StoreObservation::Mark mark = fixture.observation.mark();
    fixture.observation.recordSeenToEnd();
    CHECK_FALSE(fixture.observation.isNewerThan(mark));
    CHECK_FALSE(fixture.lookUp());
    CHECK(fixture.reads == 2);
}

// Guards against a call to the store for each of many take-ups at once.
TEST_CASE("One read of the store serves all lookups that wait for it", "[streams]")
{
    ReaderFixture fixture;
    const auto results = fixture.lookUpAll(500);
    CHECK(std::ranges::count(results, std::optional(OLD)) == 500);
    CHECK(fixture.reads == 1);
}

// Guards against calls to the store in the usual case, in which the gateway that began the stream answers.
TEST_CASE("The store is not read for a stream of which another gateway tells", "[streams]")
{
    ReaderFixture fixture;
    fixture.lookup.setAsk([&](const std::vector<RequestId> &roots) {
        if (!roots.empty()) {
            boost::asio::post(fixture.io, [&fixture, roots] {
                fixture.tracker.recordNotice({OLD, roots}, MilliClock::now());
                fixture.lookup.wake(roots);
            });
        }
        return true;
    });
    const Time began = MilliClock::now();
    CHECK(fixture.lookUp() == OLD);
    CHECK(fixture.reads == 0);
    CHECK(MilliClock::now() - began < StreamLookup::FIRST_WAIT);
}

// Guards against a lookup that waits for the store although another gateway has told meanwhile.
TEST_CASE("A lookup that waits for the store ends when another gateway tells", "[streams]")
{
    ReaderFixture fixture;
    fixture.readTime = Duration(10'000);
    int asked = 0;
    fixture.lookup.setAsk([&](const std::vector<RequestId> &roots) {
        asked += static_cast<int>(roots.size());
        if (asked == 2) {
            fixture.tracker.recordNotice({NEW, roots}, MilliClock::now());
            fixture.lookup.wake(roots);
        }
        return true;
    });
    CHECK(fixture.lookUp() == NEW);
    CHECK(asked == 2);
    CHECK(fixture.reads == 1);
}

// Guards against a call that is held on and on while the store does not answer, and against a conclusion without it.
TEST_CASE("A lookup without an answer of the store ends in time and without an origin", "[streams]")
{
    ReaderFixture fixture;
    fixture.answers = false;
    fixture.readTime = GENERATE(Duration(1), Duration(10'000));
    const Time began = MilliClock::now();
    CHECK_FALSE(fixture.lookUp());
    const Duration took = MilliClock::now() - began;
    CHECK(took >= StreamLookup::MAX_STORE_WAIT);
    CHECK(took < StreamLookup::MAX_STORE_WAIT * 2);
    CHECK(fixture.reads <= 1 + StreamLookup::MAX_STORE_WAIT / StoreObservation::MIN_INTERVAL_AFTER_FAILURE);
}

// Guards against a burst of calls to the store while many take-ups follow one another.
TEST_CASE("Requested reads keep their least interval", "[streams]")
{
    ReaderFixture fixture;
    fixture.readTime = Duration(1);
    for (int i = 0; i < 5; ++i) {
        CHECK(fixture.lookUp() == OLD);
    }
    REQUIRE(fixture.reads == 5);
    for (std::size_t i = 1; i < fixture.readTimes.size(); ++i) {
        CHECK(fixture.readTimes[i] - fixture.readTimes[i - 1] >= StoreObservation::MIN_INTERVAL);
    }
}

// Guards against a store that has returned from a copy in which the endpoints of a version are missing, and counts as showing that there are none.
TEST_CASE("After a restore no read counts that was sent before the endpoints had time to register again", "[streams]")
{
    ReaderFixture fixture;
    const Time completeFrom = MilliClock::now() + Duration(200);
    fixture.observation.recordRestore(completeFrom);
    fixture.read();
    CHECK(fixture.lookUp() == OLD);
    CHECK(fixture.reads == 2);
    CHECK(fixture.readTimes.back() >= completeFrom);
    CHECK(fixture.observation.asOf() == fixture.readTimes.back());
}

// Guards against reads for lookups that no read can decide.
TEST_CASE("The store is not read if the service has several versions or is one of several", "[streams]")
{
    ReaderFixture fixture;
    SECTION("several versions")
    {
        fixture.tracker.versions().observe(MODEL, NEW.version, MilliClock::now());
        CHECK_FALSE(fixture.lookUp());
    }
    SECTION("several services")
    {
        CHECK_FALSE(fixture.lookUpAll(1, ServiceId()).front());
    }
    CHECK(fixture.reads == 0);
}

// Guards against a process that has just started and knows nothing of the versions before, or reads the history for each lookup.
TEST_CASE("A lookup in a process that has just started takes the version from the history", "[streams]")
{
    ReaderFixture fixture(false);
    int covered = 0;
    fixture.lookup.setCover([&]() -> boost::asio::awaitable<void> {
        ++covered;
        fixture.tracker.versions().recordCoverage(MilliClock::now() - Duration(60'000));
        co_return;
    });
    CHECK(fixture.lookUp() == OLD);
    CHECK(fixture.lookUp() == OLD);
    CHECK(covered == 1);
}

// Guards against a record of another gateway that arrives while a read of the store seems to show the only version: the stream can have been begun by an
// endpoint that is not registered any more, or not yet.
TEST_CASE("A record of another gateway goes before a read of the store that ends sooner", "[streams]")
{
    ReaderFixture fixture;
    fixture.lookup.setAsk([&fixture](const std::vector<RequestId> &roots) {
        if (roots.empty()) {
            // A regular read begins at once and ends before any gateway can answer.
            fixture.readTime = Duration(1);
            boost::asio::post(fixture.io, [&fixture] {
                fixture.read();
            });
        } else {
            const auto timer = std::make_shared<boost::asio::steady_timer>(fixture.io, Duration(20));
            timer->async_wait([&fixture, timer, roots](const boost::system::error_code &) {
                fixture.tracker.recordNotice({NEW, roots}, MilliClock::now());
                fixture.lookup.wake(roots);
            });
        }
        return true;
    });
    CHECK(fixture.lookUp() == NEW);
}
