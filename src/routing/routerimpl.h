#pragma once

#include "cacheindex.h"
#include "endpointestimate.h"

#include <map>
#include <random>
#include <unordered_map>

namespace mimosatally
{

struct Router::Impl {
    using Index = internal::CacheIndex::EndpointIndex;
    using Seconds = internal::Seconds;

    /// \brief Endpoints of one model or service, by network distance.
    struct Pool {
        std::vector<Index> sameDataCentre;
        std::vector<Index> sameRegion;
        std::vector<Index> otherRegions;
    };

    struct Candidate {
        Index endpoint = 0;
        Tokens cached;
        Seconds startWait = 0;
        Seconds service = 0;
        Seconds cost = 0;
    };

    /// \brief Running mean of the output tokens of a customer's requests to a model.
    struct OutputMean {
        double tokens = 0;
        bool hasSamples = false;
    };

    Index indexOf(const Endpoint &endpoint);
    void addToPool(Pool &pool, Index endpoint) const;
    [[nodiscard]] const Pool *findPool(const RouteRequest &request) const;

    /// \brief Adds all endpoints of \a from to \a into, or a random sample of a long list.
    void sample(const std::vector<Index> &from, std::vector<Index> &into);
    /// \brief Adds the endpoints with the longest cached prefixes of the prompt, from this region or from other regions.
    void addHolders(const RouteRequest &request, bool otherRegions, std::vector<Index> &into) const;
    [[nodiscard]] std::vector<Candidate> evaluate(const RouteRequest &request, const std::vector<Index> &endpoints, Time now);
    [[nodiscard]] bool isAdmitted(const RouteRequest &request, Index endpoint, Time now);
    [[nodiscard]] static std::vector<Candidate> startingWithin(const std::vector<Candidate> &candidates, Seconds allowed);
    [[nodiscard]] Candidate pick(const std::vector<Candidate> &candidates);
    [[nodiscard]] std::vector<Candidate> candidatesInRegion(const RouteRequest &request, const Pool &pool, Time now);
    [[nodiscard]] std::vector<Candidate> candidatesInOtherRegions(const RouteRequest &request, const Pool &pool, Time now);
    /// \brief Returns true if the customer's contract may be broken in this region: the request was already tried at an endpoint, or an endpoint of
    /// this region has recently refused a request of the customer.
    [[nodiscard]] bool canUseOtherRegions(const RouteRequest &request, Time now) const;
    [[nodiscard]] bool servesModel(const RouteRequest &request, Index endpoint) const;
    [[nodiscard]] RouteDecision makeDecision(const Candidate &chosen) const;
    [[nodiscard]] bool isInOtherRegion(Index endpoint) const;

    RegionId region;
    DataCentreId dataCentre;
    std::mt19937_64 random;
    Tokens cacheBlockTokens = Tokens(2000);

    std::vector<internal::EndpointEstimate> endpoints;
    std::unordered_map<EndpointId, Index> indexes;
    std::unordered_map<ModelId, Pool> models;
    std::unordered_map<ServiceId, Pool> services;
    internal::CacheIndex cache;
    std::map<std::pair<CustomerId, ModelId>, OutputMean> outputMeans;
    /// \brief Time at which an endpoint of this region last refused a request of the customer.
    std::unordered_map<CustomerId, Time> lastRefusalInRegion;
    Bytes crossRegionBytes;
};

} // namespace mimosatally
