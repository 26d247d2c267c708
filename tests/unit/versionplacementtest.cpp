#include "routerfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
const SoftwareVersion V3("v3");
const SoftwareVersion UNKNOWN;

/// \brief Plays calls with drawn prompts, durations, failures and load reports on one router, and records every placement.
class DrawnCalls
{
public:
    DrawnCalls(Fleet &fleet, std::optional<SoftwareVersion> required)
        : fleet_(fleet)
        , required_(std::move(required))
    {
    }

    void play(int calls)
    {
        for (int call = 0; call < calls; ++call) {
            now_ += static_cast<int>(draw(20));
            finishAttempts();
            if (draw(10) == 0) {
                reportLoad();
            }
            place(draw(8) == 0 ? plainCall() : drawnPrompt());
        }
    }

    /// \brief Returns one line for each placement.
    [[nodiscard]] const std::string &choices() const
    {
        return choices_;
    }

    /// \brief Number of calls to endpoints, those for a prefill included.
    [[nodiscard]] int calls() const
    {
        return calls_;
    }

    [[nodiscard]] const std::vector<Placement> &placements() const
    {
        return placements_;
    }

private:
    struct OpenAttempt {
        int endsAt;
        PhaseRouter::Ticket ticket;
        AttemptOutcome outcome;
    };

    std::uint64_t draw(std::uint64_t end)
    {
        return random_() % end;
    }

    PlacementRequest drawnPrompt()
    {
        PlacementRequest request;
        request.service = MODEL;
        const auto shared = static_cast<int>(500 + draw(6000));
        const auto own = static_cast<int>(50 + draw(4000));
        request.promptTokens = Tokens(1000 + shared + own);
        request.promptParts = {{1, Tokens(1000)}, {10 + draw(30), Tokens(shared)}, {1000 + draw(500), Tokens(own)}};
        return request;
    }

    void place(PlacementRequest request)
    {
        request.version = required_;
        const Placement placement = fleet_.router.place(request, at(now_));
        const EndpointId none("-");
        choices_ += placement.run.value_or(none).value() + ' ' + placement.prefill.value_or(none).value() + ' ' + placement.cacheSource.value_or(none).value()
                    + ' ' + std::to_string(placement.cache.tokens.count()) + ' ' + std::to_string(placement.firstByteMs) + '\n';
        placements_.push_back(placement);
        if (placement.prefill) {
            begin({*placement.prefill, AttemptWork::Prefill, placement.cache}, request);
            const Placement decode = fleet_.router.placeDecode(request, *placement.prefill, at(now_));
            choices_ += decode.run.value_or(none).value() + '\n';
            if (decode.run) {
                begin({*decode.run, AttemptWork::Run, placement.cache, *placement.prefill}, request);
            }
        } else if (placement.run) {
            begin({*placement.run, request.service == MODEL ? AttemptWork::PrefillAndRun : AttemptWork::Run, placement.cache}, request);
        }
    }

    void begin(const AttemptPlan &plan, const PlacementRequest &request)
    {
        ++calls_;
        const AttemptOutcome outcome = draw(40) == 0 ? AttemptOutcome::Failed : AttemptOutcome::Answered;
        open_.push_back({now_ + 20 + static_cast<int>(draw(2000)), fleet_.router.begin(plan, request, at(now_)), outcome});
    }

    void finishAttempts()
    {
        for (const OpenAttempt &attempt : open_) {
            if (attempt.endsAt <= now_) {
                fleet_.router.end(attempt.ticket, attempt.outcome, at(now_));
            }
        }
        std::erase_if(open_, [this](const OpenAttempt &attempt) {
            return attempt.endsAt <= now_;
        });
    }

    void reportLoad()
    {
        auto endpoint = fleet_.records.begin();
        std::advance(endpoint, draw(fleet_.records.size()));
        fleet_.router.reportLoad(endpoint->first, {.running = static_cast<int>(draw(100)), .waiting = static_cast<int>(draw(10))}, at(now_));
    }

    Fleet &fleet_;
    std::optional<SoftwareVersion> required_;
    std::mt19937_64 random_ = std::mt19937_64(20261206);
    int now_ = 0;
    int calls_ = 0;
    std::vector<OpenAttempt> open_;
    std::vector<Placement> placements_;
    std::string choices_;
};

/// \brief Adds engines of both phases and plain endpoints, in turn with each of \a versions, in two regions.
void addMixed(Fleet &fleet, int endpoints, const std::vector<SoftwareVersion> &versions)
{
    for (int i = 0; i < endpoints; ++i) {
        const SoftwareVersion &version = versions[static_cast<std::size_t>(i) % versions.size()];
        const DataCentreId where = i / 3 % 2 == 0 ? HERE : THERE;
        fleet.add("p" + std::to_string(i), MODEL, where, EnginePhase::Prefill, version);
        fleet.add("d" + std::to_string(i), MODEL, where, EnginePhase::Decode, version);
        fleet.add("x" + std::to_string(i), PLAIN, where, std::nullopt, version);
    }
}

/// \brief Starts an endpoint again under the same id with \a version.
void restart(Fleet &fleet, const std::string &id, const SoftwareVersion &version)
{
    EndpointRecord &record = fleet.records[EndpointId(id)];
    record.version = version;
    ++record.startedAt;
    fleet.apply();
}
} // namespace

// Guards against a change of placements, of predictions and of the number of calls where all endpoints have the same version.
TEST_CASE("With one version everywhere a required version changes no placement", "[phaserouter][version]")
{
    constexpr int calls = 4000;
    const int endpoints = GENERATE(4, 40);
    Fleet free;
    Fleet bound;
    Fleet renamed;
    addMixed(free, endpoints, {V1});
    addMixed(bound, endpoints, {V1});
    addMixed(renamed, endpoints, {V2});
    DrawnCalls expected(free, std::nullopt);
    expected.play(calls);
    DrawnCalls required(bound, V1);
    required.play(calls);
    DrawnCalls other(renamed, std::nullopt);
    other.play(calls);
    CHECK(required.choices() == expected.choices());
    CHECK(required.calls() == expected.calls());
    CHECK(other.choices() == expected.choices());
    CHECK(other.calls() == expected.calls());
    CHECK(expected.calls() > calls);
    const auto fetches = std::ranges::count_if(expected.placements(), [](const Placement &placement) {
        return placement.cacheSource.has_value();
    });
    CHECK(fetches > calls / 100);
}

// Guards against a KV cache that an engine of one version computed and an engine of another version uses, in a decode after a prefill or by a fetch.
TEST_CASE("Only engines of one version are combined for a call", "[phaserouter][version]")
{
    Fleet fleet;
    addMixed(fleet, 12, {V1, V2, V3});
    DrawnCalls calls(fleet, std::nullopt);
    calls.play(4000);
    std::set<SoftwareVersion> used;
    int pairs = 0;
    int fetches = 0;
    for (const Placement &placement : calls.placements()) {
        REQUIRE(placement.run);
        const SoftwareVersion version = versionOf(fleet, *placement.run);
        used.insert(version);
        if (placement.prefill) {
            ++pairs;
            CHECK(versionOf(fleet, *placement.prefill) == version);
        }
        if (placement.cacheSource) {
            ++fetches;
            CHECK(versionOf(fleet, *placement.cacheSource) == version);
        }
    }
    CHECK(used.size() == 3);
    CHECK(pairs > 100);
    CHECK(fetches > 10);
}

// Guards against engines of unknown version being taken for engines of the same version.
TEST_CASE("An engine of unknown version is combined with no other engine", "[phaserouter][version]")
{
    Fleet fleet;
    addMixed(fleet, 4, {UNKNOWN});
    DrawnCalls calls(fleet, std::nullopt);
    calls.play(1000);
    for (const Placement &placement : calls.placements()) {
        CHECK(placement.run);
        CHECK_FALSE(placement.prefill);
        CHECK_FALSE(placement.cacheSource);
    }
    CHECK_FALSE(fleet.router.placeDecode(longPrompt(7), EndpointId("p0"), at(0)).run);
    const Placement unknown = fleet.router.place(ofVersion(longPrompt(7), UNKNOWN), at(0));
    CHECK_FALSE(unknown.run);
    CHECK(unknown.versionGone);
}

// Guards against a decode on an engine of another version when those of the prefill's version have left in the meantime.
TEST_CASE("A decode is placed only on engines with the version of the prefill", "[phaserouter][version]")
{
    Fleet fleet;
    addMixed(fleet, 6, {V1, V2, V3});
    for (int i = 0; i < 50; ++i) {
        const Placement decode = fleet.router.placeDecode(longPrompt(static_cast<std::uint64_t>(i)), EndpointId("p1"), at(i));
        REQUIRE(decode.run);
        CHECK(versionOf(fleet, *decode.run) == V2);
    }
    fleet.remove("d1");
    fleet.remove("d4");
    CHECK_FALSE(fleet.router.placeDecode(longPrompt(7), EndpointId("p1"), at(100)).run);
    // The engine of the prefill has started again with another version, and no longer has what it computed before.
    restart(fleet, "p1", V3);
    CHECK_FALSE(fleet.router.placeDecode(ofVersion(longPrompt(7), V2), EndpointId("p1"), at(100)).run);
}

// Guards against a stream that goes on at an engine of another version, or at one of another service whose version has the same name.
TEST_CASE("A call that requires a version is placed only on its engines", "[phaserouter][version]")
{
    Fleet fleet;
    addMixed(fleet, 9, {V1, V2, V3});
    for (const SoftwareVersion &version : {V1, V2, V3}) {
        DrawnCalls calls(fleet, version);
        calls.play(500);
        for (const Placement &placement : calls.placements()) {
            REQUIRE(placement.run);
            CHECK(versionOf(fleet, *placement.run) == version);
            CHECK(versionOf(fleet, placement.prefill.value_or(*placement.run)) == version);
            CHECK(versionOf(fleet, placement.cacheSource.value_or(*placement.run)) == version);
        }
    }
    for (int i = 1; i < 9; i += 3) {
        fleet.remove("x" + std::to_string(i));
    }
    const Placement gone = fleet.router.place(ofVersion(plainCall(), V2), at(0));
    CHECK_FALSE(gone.run);
    CHECK(gone.versionGone);
    CHECK(gone.reason == "version-gone");
    CHECK(fleet.router.place(ofVersion(longPrompt(7), V2), at(0)).run);
}

// Guards against a KV cache fetch between engines of two services whose versions have the same name.
TEST_CASE("A prompt's cache is not fetched from an engine of another service", "[phaserouter][version]")
{
    const ServiceId other("other");
    Fleet fleet;
    fleet.configuration.services[other] = {other, 600, fleet.configuration.services[MODEL].engine};
    fleet.add("m", MODEL, HERE, EnginePhase::Decode);
    fleet.add("o", other, HERE, EnginePhase::Decode);
    const auto ticket = fleet.router.begin({EndpointId("m"), AttemptWork::PrefillAndRun}, longPrompt(7), at(0));
    fleet.router.end(ticket, AttemptOutcome::Answered, at(500));
    PlacementRequest request = longPrompt(7);
    request.service = other;
    const Placement placement = fleet.router.place(request, at(600));
    CHECK(placement.run == EndpointId("o"));
    CHECK_FALSE(placement.cacheSource);
    CHECK(placement.cache.tokens == Tokens(0));
}

// Guards against an endpoint that is taken for one of its earlier version after it has started again under the same id.
TEST_CASE("An endpoint that starts again with another version serves only that one", "[phaserouter][version]")
{
    const bool newStartTime = GENERATE(true, false);
    Fleet fleet;
    fleet.add("e", MODEL, HERE, EnginePhase::Decode, V1);
    fleet.add("f", MODEL, HERE, EnginePhase::Decode, V2);
    const auto ticket = fleet.router.begin({EndpointId("e"), AttemptWork::PrefillAndRun}, longPrompt(7), at(0));
    fleet.router.end(ticket, AttemptOutcome::Answered, at(500));
    REQUIRE(fleet.router.place(ofVersion(longPrompt(7), V1), at(600)).cache.tokens == Tokens(9000));
    if (newStartTime) {
        restart(fleet, "e", V2);
    } else {
        fleet.records[EndpointId("e")].version = V2;
        fleet.apply();
    }
    const Placement gone = fleet.router.place(ofVersion(longPrompt(7), V1), at(600));
    CHECK_FALSE(gone.run);
    CHECK(gone.versionGone);
    const Placement placement = fleet.router.place(ofVersion(longPrompt(7), V2), at(600));
    CHECK(placement.run);
    CHECK(placement.cache.tokens == Tokens(0));
    CHECK_FALSE(placement.cacheSource);
}

// Guards against a version that is reported as gone while its endpoints only take no calls at present, and against waiting for one that has gone.
TEST_CASE("A version is gone only without an endpoint of it that stays", "[phaserouter][version]")
{
    Fleet fleet;
    fleet.add("a", PLAIN, HERE, std::nullopt, V1);
    fleet.add("b", PLAIN, HERE, std::nullopt, V2);
    const PlacementRequest request = ofVersion(plainCall(), V1);
    SECTION("paused")
    {
        const auto ticket = fleet.router.begin({EndpointId("a"), AttemptWork::Run}, request, at(0));
        EndpointAnswer answer;
        answer.retryAfter = Duration(700);
        fleet.router.observeAnswer(ticket, answer, at(10));
        const Placement paused = fleet.router.place(request, at(20));
        CHECK_FALSE(paused.run);
        CHECK_FALSE(paused.versionGone);
        CHECK(paused.retryAfter == Duration(690));
        CHECK(fleet.router.place(request, at(711)).run == EndpointId("a"));
    }
    SECTION("failed, and excluded for this call")
    {
        for (int i = 0; i < 10; ++i) {
            fleet.router.end(fleet.router.begin({EndpointId("a"), AttemptWork::Run}, request, at(i)), AttemptOutcome::Failed, at(i));
        }
        CHECK(fleet.router.place(request, at(20)).run == EndpointId("a"));
        PlacementRequest excluding = request;
        excluding.excluded = {EndpointId("a")};
        const Placement failed = fleet.router.place(excluding, at(20));
        CHECK_FALSE(failed.run);
        CHECK_FALSE(failed.versionGone);
    }
    SECTION("leaving")
    {
        fleet.records[EndpointId("a")].leaving = true;
        fleet.apply();
        CHECK(fleet.router.place(request, at(0)).versionGone);
    }
    SECTION("no endpoint of the service is left")
    {
        fleet.remove("a");
        fleet.remove("b");
        CHECK(fleet.router.place(request, at(0)).versionGone);
        CHECK_FALSE(fleet.router.place(plainCall(), at(0)).versionGone);
    }
}
