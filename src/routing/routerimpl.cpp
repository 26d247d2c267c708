#include "routerimpl.h"

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Lists up to this length are compared completely, longer ones by a random sample of this size, so that the cost of a choice does
/// not grow with the number of endpoints.
constexpr std::size_t SAMPLE_SIZE = 12;
/// \brief Maximum number of endpoints with a cached prefix that are compared in addition.
constexpr std::size_t MAX_HOLDERS = 4;
/// \brief Costs that differ by less than this fraction plus this time count as equal: the reports are not more precise than that.
constexpr double NEAR_EQUAL_FRACTION = 0.1;
constexpr double NEAR_EQUAL_SECONDS = 0.01;
/// \brief Engine time saved by a cached prefix or a matching role shortens the wait of all later requests, not only of this one.
constexpr double SAVED_WORK_WEIGHT = 8;
/// \brief Other work in the batch slows the request down even if it starts immediately.
constexpr double BATCH_SLOWDOWN = 0.5;
/// \brief Slightly more than the time of a call to another data centre of the region (docs/design.md, section 1.2).
constexpr double OTHER_DATA_CENTRE_SECONDS = 0.002;
/// \brief Time for which a customer's refusal in this region applies to its next requests; loads change within seconds.
constexpr Duration MAX_REFUSAL_AGE = Duration(2000);
constexpr int FULL_PERMILLE = 1000;

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}
} // namespace

Router::Impl::Index Router::Impl::indexOf(const Endpoint &endpoint)
{
    const auto found = indexes.find(endpoint.id);
    if (found != indexes.end()) {
        endpoints[found->second].setConfiguration(endpoint);
        return found->second;
    }
    const auto index = static_cast<Index>(endpoints.size());
    endpoints.emplace_back(endpoint);
    indexes.emplace(endpoint.id, index);
    return index;
}

void Router::Impl::addToPool(Pool &pool, Index endpoint) const
{
    const Endpoint &configuration = endpoints[endpoint].configuration();
    if (configuration.region != region) {
        pool.otherRegions.push_back(endpoint);
    } else if (configuration.dataCentre != dataCentre) {
        pool.sameRegion.push_back(endpoint);
    } else {
        pool.sameDataCentre.push_back(endpoint);
    }
}

const Router::Impl::Pool *Router::Impl::findPool(const RouteRequest &request) const
{
    if (!request.service.empty()) {
        const auto found = services.find(request.service);
        return found == services.end() ? nullptr : &found->second;
    }
    const auto found = models.find(request.model);
    return found == models.end() ? nullptr : &found->second;
}

void Router::Impl::sample(const std::vector<Index> &from, std::vector<Index> &into)
{
    if (from.size() <= SAMPLE_SIZE) {
        into.insert(into.end(), from.begin(), from.end());
        return;
    }
    for (std::size_t i = 0; i < SAMPLE_SIZE; ++i) {
        into.push_back(from[random() % from.size()]);
    }
}

bool Router::Impl::isInOtherRegion(Index endpoint) const
{
    return endpoints[endpoint].configuration().region != region;
}

bool Router::Impl::servesModel(const RouteRequest &request, Index endpoint) const
{
    const auto &served = endpoints[endpoint].configuration().models;
    return std::find(served.begin(), served.end(), request.model) != served.end();
}

void Router::Impl::addHolders(const RouteRequest &request, bool otherRegions, std::vector<Index> &into) const
{
    for (const Index holder : cache.holders(request.cacheBlockHashes, MAX_HOLDERS)) {
        if (isInOtherRegion(holder) == otherRegions && servesModel(request, holder)) {
            into.push_back(holder);
        }
    }
}

bool Router::Impl::isAdmitted(const RouteRequest &request, Index endpoint, Time now)
{
    const int permille = endpoints[endpoint].admittedPermille(now);
    if (permille == 0 || (permille < FULL_PERMILLE && static_cast<int>(random() % FULL_PERMILLE) >= permille)) {
        return false;
    }
    const EndpointId &id = endpoints[endpoint].configuration().id;
    return std::find(request.excluded.begin(), request.excluded.end(), id) == request.excluded.end();
}

std::vector<Router::Impl::Candidate> Router::Impl::evaluate(const RouteRequest &request, const std::vector<Index> &sampled, Time now)
{
    std::vector<Index> distinct = sampled;
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    std::vector<Candidate> result;
    for (const Index index : distinct) {
        if (!isAdmitted(request, index, now)) {
            continue;
        }
        const internal::EndpointEstimate &endpoint = endpoints[index];
        const auto blocks = static_cast<std::int64_t>(cache.cachedBlocks(index, request.cacheBlockHashes));
        const Tokens cached = std::min(Tokens(blocks * cacheBlockTokens.count()), request.promptTokens);
        const Seconds wait = endpoint.startWait(now);
        const Seconds service = endpoint.serviceTime(request, cached);
        Seconds cost = wait + BATCH_SLOWDOWN * endpoint.pendingWork(now) + SAVED_WORK_WEIGHT * service;
        if (endpoint.configuration().dataCentre != dataCentre) {
            cost += OTHER_DATA_CENTRE_SECONDS;
        }
        result.push_back({index, cached, wait, service, cost});
    }
    return result;
}

std::vector<Router::Impl::Candidate> Router::Impl::candidatesInRegion(const RouteRequest &request, const Pool &pool, Time now)
{
    std::vector<Index> sampled;
    sample(pool.sameDataCentre, sampled);
    sample(pool.sameRegion, sampled);
    addHolders(request, false, sampled);
    return evaluate(request, sampled, now);
}

std::vector<Router::Impl::Candidate> Router::Impl::candidatesInOtherRegions(const RouteRequest &request, const Pool &pool, Time now)
{
    std::vector<Index> sampled;
    sample(pool.otherRegions, sampled);
    addHolders(request, true, sampled);
    return evaluate(request, sampled, now);
}

Router::Impl::Candidate Router::Impl::pick(const std::vector<Candidate> &candidates)
{
    const Candidate &cheapest = *std::min_element(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    });
    const Seconds tolerance = (cheapest.startWait + cheapest.service) * NEAR_EQUAL_FRACTION + NEAR_EQUAL_SECONDS;
    std::vector<const Candidate *> nearEqual;
    for (const Candidate &candidate : candidates) {
        if (candidate.cost <= cheapest.cost + tolerance) {
            nearEqual.push_back(&candidate);
        }
    }
    // Power of two random choices: routers with the same delayed report do not all choose the same endpoint.
    const Candidate *first = nearEqual[random() % nearEqual.size()];
    const Candidate *second = nearEqual[random() % nearEqual.size()];
    return first->cost <= second->cost ? *first : *second;
}

std::vector<Router::Impl::Candidate> Router::Impl::startingWithin(const std::vector<Candidate> &candidates, Seconds allowed)
{
    std::vector<Candidate> result;
    for (const Candidate &candidate : candidates) {
        if (candidate.startWait <= allowed) {
            result.push_back(candidate);
        }
    }
    return result;
}

bool Router::Impl::canUseOtherRegions(const RouteRequest &request, Time now) const
{
    if (!request.excluded.empty()) {
        return true;
    }
    const auto refused = lastRefusalInRegion.find(request.customer);
    return refused != lastRefusalInRegion.end() && now - refused->second <= MAX_REFUSAL_AGE;
}

RouteDecision Router::Impl::makeDecision(const Candidate &chosen) const
{
    RouteDecision decision;
    decision.endpoint = endpoints[chosen.endpoint].configuration().id;
    decision.predictedWait = Duration(static_cast<std::int64_t>(chosen.startWait * 1000));
    decision.cachedTokens = chosen.cached;
    decision.crossRegion = isInOtherRegion(chosen.endpoint);
    if (decision.crossRegion) {
        decision.reason = "other-region";
    } else {
        decision.reason = chosen.cached > Tokens(0) ? "prefix-affinity" : "least-predicted-wait";
    }
    return decision;
}

namespace
{
RouteDecision refusedDecision(const char *reason, std::optional<Duration> retryAfter)
{
    RouteDecision decision;
    decision.reason = reason;
    decision.retryAfter = retryAfter;
    return decision;
}
} // namespace

RouteDecision Router::choose(const RouteRequest &request, Time now)
{
    const Impl::Pool *pool = impl_->findPool(request);
    if (pool == nullptr) {
        return refusedDecision("no-endpoint", std::nullopt);
    }
    if (now > request.startDeadline) {
        return refusedDecision("deadline-passed", Duration(1));
    }
    const double allowed = toSeconds(request.startDeadline - now);
    const std::vector<Impl::Candidate> inRegion = impl_->candidatesInRegion(request, *pool, now);
    std::optional<Impl::Candidate> best;
    if (!inRegion.empty()) {
        const std::vector<Impl::Candidate> inTime = Impl::startingWithin(inRegion, allowed);
        best = impl_->pick(inTime.empty() ? inRegion : inTime);
    }
    if (best && (best->startWait <= allowed || !impl_->canUseOtherRegions(request, now))) {
        return impl_->makeDecision(*best);
    }
    const std::vector<Impl::Candidate> inOtherRegions = Impl::startingWithin(impl_->candidatesInOtherRegions(request, *pool, now), allowed);
    if (!inOtherRegions.empty()) {
        return impl_->makeDecision(impl_->pick(inOtherRegions));
    }
    if (best && request.excluded.empty()) {
        // The prediction does not include the customer's position in the queue; the agent decides by the contract.
        return impl_->makeDecision(*best);
    }
    if (!best) {
        return refusedDecision("no-endpoint", std::nullopt);
    }
    return refusedDecision("no-endpoint-in-time", Duration(static_cast<std::int64_t>((best->startWait - allowed) * 1000) + 1));
}

} // namespace mimosatally
