#include <catch2/catch.hpp>

#include <mimosatally/Routing>

#include <array>

using namespace mimosatally;

namespace
{
const Time START = Time(Duration(1'000'000));
constexpr Duration SECOND = Duration(1000);

/// \brief Crashes of one suspect, a second after each other unless stated otherwise.
class Crashes
{
public:
    void add(std::optional<int> positionMs, Duration afterLast = SECOND)
    {
        now_ += afterLast;
        const CrashId crash = ++last_;
        times_.record(crash, now_);
        const std::optional<Duration> position = positionMs ? std::optional(Duration(*positionMs)) : std::nullopt;
        evidence_.add(CrashEvidence::mark(crash, position), times_);
    }

    [[nodiscard]] std::size_t count() const
    {
        return evidence_.count(times_);
    }

    [[nodiscard]] const CrashEvidence &evidence() const
    {
        return evidence_;
    }

private:
    CrashTimes times_;
    CrashEvidence evidence_;
    Time now_ = START;
    CrashId last_ = 0;
};

Crashes crashesAt(std::initializer_list<int> positions)
{
    Crashes crashes;
    for (const int position : positions) {
        crashes.add(position);
    }
    return crashes;
}
} // namespace

// Guards against sound streams that are blamed for crashes at which they were in flight by chance: what crashes endpoints does so at about the same position.
TEST_CASE("Crashes count at the same position of an answer, and half at different ones", "[crash]")
{
    CHECK(crashesAt({0, 0, 0}).count() == 3);
    CHECK(crashesAt({400, 480, 540}).count() == 3);
    CHECK(crashesAt({100, 900, 1700}).count() == 1);
    CHECK(crashesAt({0, 300, 600, 900, 1200, 1500}).count() == 3);
    CHECK(crashesAt({100, 110, 1500, 1900}).count() == 2);
}

// Guards against sound streams that are blamed because a data centre is lost with several engines on which they are in flight.
TEST_CASE("Simultaneous crashes within answers count once, those before an answer each", "[crash]")
{
    Crashes within;
    Crashes before;
    for (int i = 0; i < 4; ++i) {
        within.add(20, Duration(10));
        before.add(std::nullopt, Duration(10));
    }
    CHECK(within.count() == 1);
    CHECK(before.count() == 4);
    within.add(20);
    CHECK(within.count() == 2);
}

// Guards against evidence that no longer grows because its room was taken by crashes that say nothing.
TEST_CASE("Without room, the crashes that count are kept", "[crash]")
{
    Crashes crashes;
    for (std::size_t i = 0; i < CrashEvidence::MAX_CRASHES; ++i) {
        crashes.add(500 + 20 * static_cast<int>(i), Duration(5));
    }
    for (int i = 0; i < 5; ++i) {
        crashes.add(0);
    }
    CHECK(crashes.count() == 5);
    CHECK(crashes.evidence().marks().size() == CrashEvidence::MAX_CRASHES);
}

// Guards against an overflow of times, which made later crashes count as the same incident as one whose time was forgotten.
TEST_CASE("A crash whose time was forgotten is another incident than later ones", "[crash]")
{
    CrashTimes times;
    CrashEvidence evidence;
    evidence.add(CrashEvidence::mark(1, Duration(0)), times);
    for (CrashId crash = 2; crash <= 3; ++crash) {
        times.record(crash, START + SECOND * static_cast<int>(crash));
        evidence.add(CrashEvidence::mark(crash, Duration(0)), times);
    }
    CHECK(evidence.count(times) == 3);
}

// Guards against one crash that counts twice because two calls with the same part were in flight, and against a weaker position that replaces a stronger one.
TEST_CASE("Of two calls in flight at one crash the one that was less far counts", "[crash]")
{
    CrashTimes times;
    CrashEvidence evidence;
    times.record(1, START);
    CHECK(evidence.add(CrashEvidence::mark(1, Duration(900)), times));
    CHECK(evidence.add(CrashEvidence::mark(1, Duration(64)), times));
    CHECK_FALSE(evidence.add(CrashEvidence::mark(1, Duration(500)), times));
    CHECK(evidence.add(CrashEvidence::mark(1, std::nullopt), times));
    CHECK_FALSE(evidence.add(CrashEvidence::mark(1, Duration(0)), times));
    CHECK(evidence.marks() == std::vector<CrashMark> {1});
}

// Guards against positions that get lost on their way to another process.
TEST_CASE("A mark keeps crash and position", "[crash]")
{
    const CrashId crash = crashIdOf(EndpointId("e"), 5);
    CHECK(CrashEvidence::crashOf(CrashEvidence::mark(crash, std::nullopt)) == crash);
    std::optional<CrashMark> last;
    for (const int position : {0, 16, 150, 1000, 2000}) {
        const CrashMark mark = CrashEvidence::mark(crash, Duration(position));
        CHECK(CrashEvidence::crashOf(mark) == crash);
        CHECK((!last || mark > *last));
        last = mark;
    }
    CHECK(CrashEvidence::mark(crash, Duration(9000)) == CrashEvidence::mark(crash, CrashEvidence::MAX_POSITION));
}

namespace
{
std::vector<SuspectId> call(std::uint64_t part, std::uint64_t request)
{
    constexpr std::uint64_t first = 0xa1;
    constexpr std::uint64_t last = 0xffff;
    const std::array<PromptPart, 3> parts = {PromptPart {first, Tokens(10)}, PromptPart {part, Tokens(10)}, PromptPart {last, Tokens(1)}};
    std::vector<SuspectId> suspects = sharedParts(parts);
    suspects.push_back(suspectOfRequest(request));
    return suspects;
}

constexpr std::uint64_t BAD = 0xbad;
constexpr std::uint64_t SOUND = 0x50d;
} // namespace

// Guards against a rare sound part that is blocked in place of the one that crashes the engines on which it is in flight, whichever is recorded first.
TEST_CASE("Of parts of different prompts the one with the most crashes is blocked", "[crash]")
{
    const auto soundFirst = GENERATE(false, true);
    CrashSuspects suspects(0);
    Time now = START;
    const auto record = [&](CrashId crash, std::uint64_t part) {
        suspects.recordCall(call(part, crash), now);
        suspects.recordCrash(crash, call(part, crash * 10 + part), now, Duration(30));
    };
    for (CrashId crash = 1; crash <= 3; ++crash) {
        now += SECOND;
        record(crash, soundFirst ? SOUND : BAD);
        record(crash, soundFirst ? BAD : SOUND);
    }
    now += CrashSuspects::SETTLE_TIME;
    suspects.decide(now);
    CHECK_FALSE(suspects.isBlocked(call(SOUND, 1)));
    CHECK_FALSE(suspects.isBlocked(call(BAD, 1)));
    now += SECOND;
    record(4, BAD);
    now += CrashSuspects::SETTLE_TIME;
    suspects.decide(now);
    CHECK(suspects.isBlocked(call(BAD, 1)));
    CHECK_FALSE(suspects.isBlocked(call(SOUND, 1)));
    CHECK(suspects.crashesOf(SOUND) == 0);
}

// Guards against a sound request that is blocked as the narrowest blame because its caller repeats it while a part of other prompts crashes engines.
TEST_CASE("A repeated sound request is not blamed for crashes of a part of other prompts", "[crash]")
{
    CrashSuspects suspects(0);
    Time now = START;
    for (CrashId crash = 1; crash <= 4; ++crash) {
        now += SECOND;
        suspects.recordCall(call(SOUND, 1), now);
        suspects.recordCrash(crash, call(SOUND, 1), now, Duration(100 + 400 * static_cast<int>(crash)));
        suspects.recordCall(call(BAD, crash), now);
        suspects.recordCrash(crash, call(BAD, 100 + crash), now, Duration(30));
        suspects.decide(now + CrashSuspects::SETTLE_TIME);
    }
    CHECK(suspects.isBlocked(call(BAD, 99)));
    CHECK_FALSE(suspects.isBlocked(call(SOUND, 1)));
}

// Guards against sound streams that are cut because one engine crashed: their repeat at another engine is prevented only by as many crashes as block a part.
TEST_CASE("A stream goes on at another engine until its part has crashed as many as block it", "[crash]")
{
    CrashSuspects suspects(0);
    suspects.recordCrash(1, call(SOUND, 1), START, Duration(30));
    CHECK_FALSE(suspects.preventsRepeat(call(SOUND, 1), true));
    CHECK(suspects.preventsRepeat(call(SOUND, 1), false));
    suspects.recordCrash(2, call(SOUND, 2), START + SECOND, Duration(30));
    CHECK_FALSE(suspects.preventsRepeat(call(SOUND, 3), true));
}

// Guards against the part that all prompts begin with, which a gateway blocks after another one has told it what explains the same crashes.
TEST_CASE("What a notice says to be blocked explains the crashes of other suspects", "[crash]")
{
    constexpr std::size_t maxNotices = 8;
    CrashSuspects first(0);
    CrashSuspects second(0);
    for (CrashId crash = 1; crash <= 2; ++crash) {
        second.recordCrash(crash, call(SOUND, crash), START);
    }
    for (CrashId crash = 1; crash <= 3; ++crash) {
        first.recordCrash(crash, call(BAD, crash), START);
    }
    REQUIRE(first.isBlocked(call(BAD, 9)));
    for (const SuspectNotice &notice : first.notices(maxNotices, START)) {
        second.recordNotice(notice, START);
    }
    CHECK(second.isBlocked(call(BAD, 9)));
    CHECK(second.crashesOf(SOUND) == 0);
}

// Guards against the part that all prompts begin with, which is in flight at one crash more than the bad one, at a gateway that has had no call with the bad
// one.
TEST_CASE("A part is not blocked in place of a rarer one that only other processes have seen", "[crash]")
{
    constexpr std::uint64_t first = 0xa1;
    CrashSuspects suspects(0);
    Time now = START;
    const auto learn = [&](SuspectId suspect, CrashId crash) {
        SuspectNotice notice;
        notice.suspect = suspect;
        notice.crashes = {CrashEvidence::mark(crash, Duration(20))};
        suspects.recordNotice(notice, now);
    };
    for (CrashId crash = 1; crash <= 4; ++crash) {
        now += SECOND;
        constexpr int soundCalls = 30;
        for (int i = 0; i < soundCalls; ++i) {
            suspects.recordCall(call(SOUND + crash, crash), now);
        }
        learn(first, crash);
        if (crash > 1) {
            learn(BAD, crash);
        }
        suspects.decide(now + CrashSuspects::SETTLE_TIME);
    }
    now += SECOND;
    suspects.decide(now);
    const std::vector<SuspectId> sound = {first, SOUND};
    CHECK_FALSE(suspects.isBlocked(sound));
}

// Guards against marks on rare sound parts that last for good and add up over hours, and against datagrams that repeat them all the time.
TEST_CASE("A part that does not crash again is told now and then, and forgotten after an hour", "[crash]")
{
    constexpr std::size_t maxNotices = 8;
    CrashSuspects suspects(0);
    const std::vector<SuspectId> part = {SOUND};
    suspects.recordCrash(1, part, START);
    CHECK(suspects.notices(maxNotices, START).size() == 1);
    std::size_t told = 0;
    constexpr int seconds = 64;
    for (int i = 0; i < seconds; ++i) {
        told += suspects.notices(maxNotices, START + CrashSuspects::ANNOUNCE_SUSPECT_TIME + SECOND * i).size();
    }
    CHECK(told >= 4);
    CHECK(told <= 16);
    suspects.decide(START + CrashSuspects::SUSPICION_TIME);
    CHECK(suspects.isSuspected(part));
    suspects.decide(START + CrashSuspects::PART_SUSPICION_TIME);
    CHECK_FALSE(suspects.isSuspected(part));
}
