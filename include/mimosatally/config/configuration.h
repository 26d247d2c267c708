#pragma once

#include "contract.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosatally
{

enum class EndpointKind {
    Engine,
    Service,
};

/// \brief Phases that an engine serves.
enum class EngineRole {
    Prefill,
    Decode,
    Mixed,
};

/// \brief Name of the role in configurations, records and orders, for example `prefill`.
std::string_view toString(EngineRole role);

/// \brief Returns the role with this name, or std::nullopt if there is none.
std::optional<EngineRole> parseEngineRole(std::string_view name);

/// \brief State of an instance as requested by operators.
enum class InstanceState {
    Active,
    /// \brief Finishes its work and receives no new work.
    Draining,
    /// \brief As Draining, and cannot return to service.
    Withdrawn,
};

struct DataCentre {
    DataCentreId id;
    RegionId region;

    bool operator==(const DataCentre &) const = default;
};

/// \brief Static description of one endpoint and its agent.
struct Endpoint {
    EndpointId id;
    InstanceId instance;
    EndpointKind kind = EndpointKind::Engine;
    RegionId region;
    DataCentreId dataCentre;
    /// \brief RPC address of the agent, `ip:port`.
    std::string agentAddress;
    /// \brief Models of an engine; empty for a service.
    std::vector<ModelId> models;
    /// \brief Role of an engine after its start.
    EngineRole role = EngineRole::Mixed;
    /// \brief Service of a service endpoint; empty for an engine.
    ServiceId service;
    /// \brief True if the endpoint refuses orders with a stale fencing token.
    bool checksFencing = false;
    int maxConcurrentRequests = 8;
    /// \brief Nominal speed of an engine, in tokens per second.
    std::int64_t prefillTokensPerSecond = 8000;
    std::int64_t decodeTokensPerSecond = 600;
    /// \brief Prefix cache capacity of an engine, in blocks of Configuration::cacheBlockTokens.
    std::int64_t cacheBlocks = 64;

    bool operator==(const Endpoint &) const = default;
};

/// \brief Rule that says which calls of a service may be repeated.
struct ServiceRoute {
    std::string method;
    /// \brief Prefix of the path below `/services/<service>`.
    std::string pathPrefix;
    bool mayRepeat = false;

    bool operator==(const ServiceRoute &) const = default;
};

struct Service {
    ServiceId id;
    /// \brief The first route that matches applies; without a match a GET or HEAD may be repeated and others may not.
    std::vector<ServiceRoute> routes;

    bool operator==(const Service &) const = default;
};

struct Operator {
    OperatorId id;
    /// \brief Ed25519 public key in hexadecimal; verifies the operator's records.
    std::string publicKey;
    /// \brief SHA-256 of the key for the operator HTTP interface, in hexadecimal.
    std::string apiKeyHash;

    bool operator==(const Operator &) const = default;
};

/// \brief Relative cost of tokens in fair queueing.
struct TokenCosts {
    std::int64_t promptToken = 1;
    std::int64_t outputToken = 4;

    bool operator==(const TokenCosts &) const = default;
};

/// \brief Cost parameters of engine role changes.
struct RolePolicy {
    /// \brief Factor applied to the engine time that a change costs, in seconds; higher values mean fewer changes.
    double changePrice = 1.0;

    bool operator==(const RolePolicy &) const = default;
};

/// \brief Published configuration: contracts and fleet. A value type; the version is a part of ConfigurationState.
/// \sa parseConfiguration
struct Configuration {
    /// \brief Models that engines may serve.
    std::vector<ModelId> models;
    std::vector<DataCentre> dataCentres;
    std::vector<Operator> operators;
    std::vector<Contract> contracts;
    std::vector<Endpoint> endpoints;
    std::vector<Service> services;
    TokenCosts tokenCosts;
    RolePolicy rolePolicy;
    Tokens cacheBlockTokens = Tokens(2000);
    /// \brief Time that a process continues to serve under a version that neither the log nor a peer confirms.
    Duration unconfirmedLimit = Duration(1800000);
    /// \brief Maximum lifetime of an idempotency key, as announced to callers; half of the log's retention time.
    Duration claimKeyLifetime = Duration(3600000);
    /// \brief Number of streams `claims-0`, `claims-1`, ... over which idempotency keys are distributed.
    int claimPartitions = 4;

    bool operator==(const Configuration &) const = default;
};

/// \brief Configuration and operator-requested states of instances, at one version.
struct ConfigurationState {
    /// \brief Offset of the last accepted record; -1 before the first.
    ConfigurationVersion version = ConfigurationVersion(-1);
    /// \brief Offset of the last accepted `publish` or `change` record, the `base` that the next one must name; -1 before the first.
    Offset documentOffset = Offset(-1);
    Configuration configuration;
    std::map<InstanceId, InstanceState> instanceStates;

    [[nodiscard]] const Contract *findContract(const CustomerId &customer) const;
    [[nodiscard]] const Endpoint *findEndpoint(const EndpointId &endpoint) const;
    [[nodiscard]] const Service *findService(const ServiceId &service) const;
    /// \brief State of the instance; Active unless an operator requested another.
    [[nodiscard]] InstanceState stateOf(const InstanceId &instance) const;
};

} // namespace mimosatally
