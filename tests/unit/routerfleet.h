#pragma once

#include <mimosatally/Routing>

#include <map>
#include <optional>
#include <string>

namespace mimosatally::test
{
inline const ServiceId MODEL("model");
inline const ServiceId PLAIN("plain");
inline const DataCentreId HERE("here");
inline const DataCentreId THERE("there");
inline const SoftwareVersion V1("v1");
inline const SoftwareVersion V2("v2");

inline Time at(int milliseconds)
{
    return Time(Duration(1'000'000 + milliseconds));
}

/// \brief The router of one gateway with a fleet in two regions.
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

    void add(const std::string &id, const ServiceId &service, const DataCentreId &where, std::optional<EnginePhase> phase, const SoftwareVersion &version = V1)
    {
        EndpointRecord record;
        record.id = EndpointId(id);
        record.service = service;
        record.dataCentre = where;
        record.version = version;
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

inline PlacementRequest longPrompt(std::uint64_t shared)
{
    PlacementRequest request;
    request.service = MODEL;
    request.promptTokens = Tokens(9000);
    request.promptParts = {{1, Tokens(2500)}, {shared, Tokens(3800)}, {shared + 1'000'000, Tokens(2700)}};
    return request;
}

/// \brief Returns a call that shares all parts of \a request but the last one.
inline PlacementRequest otherCallOf(PlacementRequest request)
{
    request.promptParts.back().id += 5;
    return request;
}

/// \brief Reports so many running generations on the decode engine that no prefill is placed there.
inline void fillBatch(Fleet &fleet, int milliseconds)
{
    fleet.router.reportLoad(EndpointId("d"), {.running = 100}, at(milliseconds));
}

inline PlacementRequest plainCall()
{
    PlacementRequest request;
    request.service = PLAIN;
    return request;
}

/// \brief Returns \a request for engines of \a version only.
inline PlacementRequest ofVersion(PlacementRequest request, const SoftwareVersion &version)
{
    request.version = version;
    return request;
}

inline SoftwareVersion versionOf(const Fleet &fleet, const EndpointId &endpoint)
{
    return fleet.router.record(endpoint)->version;
}
} // namespace mimosatally::test
