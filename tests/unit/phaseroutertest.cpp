#include <catch2/catch.hpp>

#include <mimosatally/Routing>

using namespace mimosatally;

namespace
{
const ServiceId MODEL("model");
const ServiceId PLAIN("plain");
const DataCentreId HERE("here");
const DataCentreId THERE("there");

Time at(int milliseconds)
{
    return Time(Duration(1'000'000 + milliseconds));
}

/// \brief A fleet in two regions, as one gateway sees it.
struct Fleet {
    Fleet()
        : router(NetworkLocation {HERE, {{HERE, RegionId("r1")}, {THERE, RegionId("r2")}}}, 1)
    {
        EngineProfile engine;
        engine.slots = 128;
        engine.cacheTokens = Tokens(1'500'000);
        engine.bytesPerToken = Bytes(96'256);
        engine.linkBitsPerMs = 4'500'000'000;
        configuration.services[MODEL] = {MODEL, 600, engine};
        configuration.services[PLAIN] = {PLAIN, 100, std::nullopt};
    }

    void add(const std::string &id, const ServiceId &service, const DataCentreId &where, std::optional<EnginePhase> phase)
    {
        EndpointRecord record;
        record.id = EndpointId(id);
        record.service = service;
        record.dataCentre = where;
        record.phase = phase;
        record.slots = phase ? 128 : 6;
        records[record.id] = record;
        apply();
    }

    void remove(const std::string &id)
    {
        records.erase(EndpointId(id));
        apply();
    }

    void apply()
    {
        router.setEndpoints(records, configuration, at(0));
    }

    ServingConfiguration configuration;
    std::map<EndpointId, EndpointRecord> records;
    PhaseRouter router;
};

PlacementRequest longPrompt(std::uint64_t shared)
{
    PlacementRequest request;
    request.service = MODEL;
    request.promptTokens = Tokens(9000);
    request.promptParts = {{1, Tokens(2500)}, {shared, Tokens(3800)}, {shared + 1'000'000, Tokens(2700)}};
    return request;
}

PlacementRequest plainCall()
{
    PlacementRequest request;
    request.service = PLAIN;
    return request;
}
} // namespace

// Guards against prompts that are read at the half speed of a decode engine while prefill engines are idle.
TEST_CASE("A long prompt is read by a prefill engine and a short one where it is generated", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("p", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    const Placement split = fleet.router.place(longPrompt(7), at(0));
    CHECK(split.prefill == EndpointId("p"));
    CHECK(split.run == EndpointId("d"));
    PlacementRequest chat = longPrompt(7);
    chat.promptTokens = Tokens(200);
    chat.promptParts.clear();
    CHECK_FALSE(fleet.router.place(chat, at(0)).prefill);
}

// Load: a wave of long prompts. Transfers to another region take ten times as long and one link carries one at a time, so pairs
// across regions made decode engines answer after 350 ms with a tenth of their slots in use.
TEST_CASE("A wave of long prompts keeps the transfer of each prompt within a region", "[phaserouter]")
{
    Fleet fleet;
    for (const auto &[where, name] : {std::pair(HERE, std::string("here")), std::pair(THERE, std::string("there"))}) {
        fleet.add("p-" + name, MODEL, where, EnginePhase::Prefill);
        fleet.add("d-" + name, MODEL, where, EnginePhase::Decode);
    }
    for (std::uint64_t i = 0; i < 100; ++i) {
        const PlacementRequest request = longPrompt(i * 10);
        const Placement placement = fleet.router.place(request, at(static_cast<int>(i)));
        if (placement.prefill) {
            const auto reader = fleet.router.record(*placement.prefill)->dataCentre;
            CHECK(fleet.router.record(*placement.run)->dataCentre == reader);
            fleet.router.begin(*placement.prefill, AttemptWork::Prefill, request, at(static_cast<int>(i)));
        }
    }
}

// Load: the same prefixes again and again. Spread over all engines, each of them would read each prefix.
TEST_CASE("A prompt goes to the engine that has read its prefix unless its queue is long", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("p1", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("p2", MODEL, HERE, EnginePhase::Prefill);
    fleet.add("d", MODEL, HERE, EnginePhase::Decode);
    const PlacementRequest request = longPrompt(7);
    const EndpointId first = *fleet.router.place(request, at(0)).prefill;
    const auto ticket = fleet.router.begin(first, AttemptWork::Prefill, request, at(0));
    fleet.router.end(ticket, AttemptEnd::Answered, at(20));
    const Placement again = fleet.router.place(request, at(30));
    CHECK(again.prefill == first);
    CHECK(again.cachedTokens == Tokens(9000));
    for (std::uint64_t i = 0; i < 20; ++i) {
        fleet.router.begin(first, AttemptWork::Prefill, longPrompt(1000 + i * 10), at(40));
    }
    CHECK(fleet.router.place(request, at(40)).prefill != first);
}

// Guards against calls that are sent again and again to an engine that is changing its phase.
TEST_CASE("An endpoint that rejects calls is avoided for a growing pause", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("a", PLAIN, HERE, std::nullopt);
    fleet.add("b", PLAIN, THERE, std::nullopt);
    const auto reject = [&fleet](int when) {
        const auto ticket = fleet.router.begin(EndpointId("a"), AttemptWork::Run, plainCall(), at(when));
        fleet.router.end(ticket, AttemptEnd::Rejected, at(when));
    };
    REQUIRE(fleet.router.place(plainCall(), at(0)).run == EndpointId("a"));
    reject(0);
    CHECK(fleet.router.place(plainCall(), at(50)).run == EndpointId("b"));
    CHECK(fleet.router.place(plainCall(), at(110)).run == EndpointId("a"));
    reject(110);
    CHECK(fleet.router.place(plainCall(), at(290)).run == EndpointId("b"));
}

// Guards against an endpoint without power that takes all calls of a gateway until their deadlines.
TEST_CASE("An endpoint that answers nothing gets no new calls", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("a", PLAIN, HERE, std::nullopt);
    fleet.add("b", PLAIN, THERE, std::nullopt);
    fleet.router.begin(EndpointId("a"), AttemptWork::Run, plainCall(), at(0));
    CHECK(fleet.router.place(plainCall(), at(700)).run == EndpointId("b"));
}

// Guards against refusing everything because this process's own link failed for a moment.
TEST_CASE("If all endpoints seem broken, one of them is used all the same", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("a", PLAIN, HERE, std::nullopt);
    fleet.router.begin(EndpointId("a"), AttemptWork::Run, plainCall(), at(0));
    CHECK(fleet.router.place(plainCall(), at(700)).run == EndpointId("a"));
}

// Guards against a crash: the cache index had no place for endpoints that are no engines.
TEST_CASE("A plain endpoint that goes away leaves the router sound", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("a", PLAIN, HERE, std::nullopt);
    fleet.add("b", PLAIN, HERE, std::nullopt);
    fleet.remove("a");
    CHECK(fleet.router.place(plainCall(), at(0)).run == EndpointId("b"));
}

// Guards against lost accounts: an endpoint that leaves the list while calls run there must stay known until they end.
TEST_CASE("A call at an endpoint that left the list can end", "[phaserouter]")
{
    Fleet fleet;
    fleet.add("a", PLAIN, HERE, std::nullopt);
    const auto ticket = fleet.router.begin(EndpointId("a"), AttemptWork::Run, plainCall(), at(0));
    fleet.remove("a");
    CHECK_FALSE(fleet.router.place(plainCall(), at(1)).run);
    fleet.router.end(ticket, AttemptEnd::Answered, at(2));
    fleet.apply();
    CHECK(fleet.router.record(EndpointId("a")) == nullptr);
}
