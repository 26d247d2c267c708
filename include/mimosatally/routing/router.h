#pragma once

#include <mimosatally/Config>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Properties of a request that decide its route. Exactly one of model and service is set.
struct RouteRequest {
    RequestId id;
    CustomerId customer;
    ModelId model;
    ServiceId service;
    Tokens promptTokens;
    Tokens expectedOutputTokens;
    /// \brief Hash of each full cache block of the prompt, computed over the prompt up to the end of the block.
    std::vector<std::uint64_t> cacheBlockHashes;
    /// \brief Latest start of service.
    Time startDeadline;
    Bytes bodyBytes;
    /// \brief Endpoints that have been tried for this request.
    std::vector<EndpointId> excluded;
};

/// \brief Load report of an endpoint, received in an exchange or with an answer.
struct EndpointLoad {
    std::size_t waitingRequests = 0;
    std::size_t runningRequests = 0;
    Tokens waitingTokens;
    Tokens runningTokens;
    /// \brief Measured speeds in tokens per second; 0 means unknown.
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    EngineRole role = EngineRole::Mixed;
    bool healthy = true;
    /// \brief Age of the endpoint's own report when the agent sent it.
    Duration reportAge = Duration(0);
};

enum class AttemptResult {
    Answered,
    /// \brief Refused by the agent before it started.
    NotRun,
    /// \brief Connection lost, timeout or endpoint failure.
    Failed,
};

/// \brief Endpoint chosen for one request, with the estimates that led to the choice.
struct RouteDecision {
    /// \brief Empty if no endpoint can serve the request within its deadline.
    std::optional<EndpointId> endpoint;
    /// \brief Machine-readable reason, for example `least-predicted-wait`, `prefix-affinity`, `other-region`, `no-endpoint`.
    std::string reason;
    Duration predictedWait = Duration(0);
    /// \brief Prompt tokens expected to be in the endpoint's cache.
    Tokens cachedTokens;
    bool crossRegion = false;
    /// \brief Time after which a refused request can be retried; empty if a retry cannot succeed.
    std::optional<Duration> retryAfter;
};

/// \brief Chooses an endpoint for each request from delayed and incomplete load and cache reports.
class Router
{
public:
    class Builder;
    ~Router();
    Router(Router &&) noexcept;
    Router &operator=(Router &&) noexcept;

    /// \brief Replaces the set of endpoints; the estimates of endpoints that remain are kept.
    void setEndpoints(const std::vector<Endpoint> &endpoints, Time now);

    /// \brief Sets whether an endpoint is leaving; a leaving endpoint gets no new requests.
    void setLeaving(const EndpointId &endpoint, bool leaving);

    void reportLoad(const EndpointId &endpoint, const EndpointLoad &load, Time now);

    /// \brief Records cache blocks that an endpoint stored or evicted; events may be late or missing.
    void reportCache(const EndpointId &endpoint, const std::vector<std::uint64_t> &stored, const std::vector<std::uint64_t> &evicted, Time now);

    [[nodiscard]] RouteDecision choose(const RouteRequest &request, Time now);

    /// \brief Adds a dispatch of this process to the endpoint's load until a load report can include it.
    void recordDispatch(const EndpointId &endpoint, const RouteRequest &request, Time now);

    void recordResult(const EndpointId &endpoint, const RequestId &request, AttemptResult result, Tokens outputTokens, Time now);

    /// \brief Expected output tokens of a customer's requests to a model, from past answers.
    [[nodiscard]] Tokens expectedOutput(const CustomerId &customer, const ModelId &model) const;

    /// \brief Request bytes sent to other regions so far.
    [[nodiscard]] Bytes crossRegionBytes() const;

private:
    struct Impl;
    explicit Router(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

class Router::Builder
{
public:
    Builder &location(RegionId region, DataCentreId dataCentre);
    Builder &seed(std::uint64_t seed);
    Builder &cacheBlockTokens(Tokens tokens);
    [[nodiscard]] Router build() const;

private:
    RegionId region_;
    DataCentreId dataCentre_;
    std::uint64_t seed_ = 0;
    Tokens cacheBlockTokens_ = Tokens(2000);
};

} // namespace mimosatally
