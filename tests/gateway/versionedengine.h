#pragma once

#include "gatewayfixture.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace mimosatally::test
{

/// \brief Number of events of a stream of versioned engines.
constexpr int STREAM_EVENTS = 10;

/// \brief Where and how a stream breaks off.
enum class StreamBreak {
    None,
    /// \brief The connection between caller and gateway is lost.
    CallerConnection,
    /// \brief The engine that begins the stream resets its connection; engines that continue it do not.
    EngineResetsOnce,
    /// \brief The engine that begins the stream closes its connection; engines that continue it do not.
    EngineClosesOnce,
    /// \brief Each engine breaks the stream at the same event, so that the answer ends without its last event.
    EngineResets,
};

/// \brief Request fields that tell engines how to write a stream; gateways forward them unchanged.
constexpr const char *BREAK_FIELD = "Test-Break";
constexpr const char *BREAK_AFTER_FIELD = "Test-Break-After";
constexpr const char *PAUSE_FIELD = "Test-Pause-Ms";

/// \brief Engine process that writes its software version into each event.
struct VersionedEngine {
    std::string id;
    std::string version;
    std::string service;
    int startedAt = 0;
};

/// \brief Event number \a number as an engine of \a version writes it.
inline std::string versionedEvent(const std::string &version, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + (version.empty() ? "unnamed" : version) + " " + std::to_string(number) + "\n\n";
}

namespace internal
{
inline int numberIn(const HttpRequest &request, const std::string &field)
{
    const std::string value = headerValue(request, field);
    return !value.empty() && value.find_first_not_of("0123456789") == std::string::npos && value.size() < 9 ? std::stoi(value) : 0;
}

/// \brief Returns an engine's answer to a streaming request, which goes on after the request's last event.
inline AnswerSteps versionedStream(const VersionedEngine &engine, const HttpRequest &request)
{
    if (const std::string target = headerValue(request, "X-Mimosatally-Target-Instance"); !target.empty() && target != engine.id) {
        return {bytes(rejection(421))};
    }
    const auto how = static_cast<StreamBreak>(numberIn(request, BREAK_FIELD));
    const bool continues = !headerValue(request, "Last-Event-Id").empty();
    const bool breaks = how == StreamBreak::EngineResets || (!continues && (how == StreamBreak::EngineResetsOnce || how == StreamBreak::EngineClosesOnce));
    const int last = breaks ? numberIn(request, BREAK_AFTER_FIELD) : STREAM_EVENTS;
    AnswerSteps steps = {bytes(streamHead(requestIdOf(request)))};
    for (int number = numberIn(request, "Last-Event-Id") + 1; number <= last; ++number) {
        steps.push_back(bytes(chunk(versionedEvent(engine.version, number))));
        steps.push_back(pauseFor(numberIn(request, PAUSE_FIELD)));
    }
    steps.push_back(!breaks ? bytes(lastChunk()) : how == StreamBreak::EngineClosesOnce ? closing() : resetting());
    return steps;
}
} // namespace internal

/// \brief Engines of several software versions behind the gateways of a fixture, and their entries in its store.
class VersionedEngines
{
public:
    explicit VersionedEngines(GatewayFixture &fixture)
        : fixture_(fixture)
        , stores_({&fixture.store()})
    {
    }

    /// \brief Puts a configuration with the resumable streaming routes `/resume/` of service `plain` and `/other/` of service `other` in force.
    /// \param split the first route goes to both services in equal parts.
    void configure(bool split = false)
    {
        const auto route = [](const std::string &name, const std::string &service) {
            return R"({"name":")" + name + R"(","host":"h","pathPrefix":"/)" + name
                   + R"(/","kind":"streaming","resumable":true,"timeoutMs":5000,"targetLatencyMs":1000,"priority":1,"maxAttempts":2,)" + service + "}";
        };
        const std::string plain = R"("service":"plain")";
        const std::string both = R"("trafficSplit":[{"service":"plain","weight":1},{"service":"other","weight":1}])";
        const std::string document =
            R"({"version":1,"routes":[)" + route("resume", split ? both : plain) + "," + route("other", R"("service":"other")")
            + R"(],"services":[{"name":"plain","maxConns":100},{"name":"other","maxConns":100}],"limits":{"maxHeaderBytes":32768,"idleTimeoutMs":15000}})";
        put("keyed.op", "config", document);
    }

    /// \brief Writes all later entries to this store too, until cutOff(). What was written before is copied.
    void writeAlsoTo(StoreStandin &store)
    {
        fixture_.onStandins([&] {
            store.restore(fixture_.store().copy());
            stores_.push_back(&store);
        });
    }

    /// \brief Lets \a store accept calls without answering them; nothing is written to it any more.
    void cutOff(StoreStandin &store)
    {
        fixture_.onStandins([&] {
            std::erase(stores_, &store);
            store.setMode(StoreMode::Unresponsive);
        });
    }

    /// \brief Lets \a store serve again after cutOff(), with what was written meanwhile.
    void reconnect(StoreStandin &store)
    {
        writeAlsoTo(store);
        fixture_.onStandins([&] {
            store.setMode(StoreMode::Serving);
        });
    }

    /// \brief Starts an engine and writes its entry.
    void start(const std::string &id, const std::string &version, const std::string &service = "plain")
    {
        startWithoutEntry(id, version, service);
        announce(id);
    }

    /// \brief Starts an engine at a new address, without an entry or while the entry of an earlier one with the same id remains.
    void startWithoutEntry(const std::string &id, const std::string &version, const std::string &service = "plain")
    {
        const auto engine = std::make_shared<VersionedEngine>(VersionedEngine {id, version, service, ++starts_});
        EndpointStandin &endpoint = fixture_.addEndpoint([engine](const HttpRequest &request) {
            return internal::versionedStream(*engine, request);
        });
        running_[id] = {engine, &endpoint};
    }

    /// \brief Writes the entry of an engine.
    void announce(const std::string &id, const std::string &state = "ready")
    {
        const auto &[engine, endpoint] = running_.at(id);
        put("keyed.servers",
            id,
            R"({"service":")" + engine->service + R"(","address":")" + endpoint->address() + R"(","zone":"here","version":")" + engine->version
                + R"(","slots":32,"state":")" + state + R"(","seqNum":1,"born":)" + std::to_string(engine->startedAt) + "}");
    }

    void removeEntry(const std::string &id)
    {
        put("keyed.servers", id, "");
    }

    /// \brief Ends an engine without a change of its entry: its connections are closed and new ones are refused.
    void vanish(const std::string &id)
    {
        fixture_.onStandins([&] {
            running_.at(id).second->crash();
        });
        running_.erase(id);
    }

    /// \brief Removes the entry of an engine and ends it some time later, which an engine that leaves uses to finish its streams.
    void leave(const std::string &id, std::chrono::milliseconds servesOn = std::chrono::milliseconds(0))
    {
        removeEntry(id);
        std::this_thread::sleep_for(servesOn);
        vanish(id);
    }

    /// \brief Ends an engine and starts another one with its id and at its address, without a change of its entry.
    void replaceInPlace(const std::string &id, const std::string &version)
    {
        fixture_.onStandins([&] {
            const auto &[engine, endpoint] = running_.at(id);
            endpoint->closeConnections();
            engine->version = version;
            engine->startedAt = ++starts_;
        });
    }

    /// \brief Number of requests that have reached the engine.
    [[nodiscard]] std::size_t arrivalsAt(const std::string &id) const
    {
        return running_.at(id).second->arrivals().size();
    }

private:
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        fixture_.onStandins([&] {
            for (StoreStandin *store : stores_) {
                store->put(topic, key, value);
            }
        });
    }

    GatewayFixture &fixture_;
    std::vector<StoreStandin *> stores_;
    int starts_ = 0;
    std::map<std::string, std::pair<std::shared_ptr<VersionedEngine>, EndpointStandin *>> running_;
};

} // namespace mimosatally::test
