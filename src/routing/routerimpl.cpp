#include "routerimpl.h"

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Lists up to this length are scanned; of longer ones a sample of this size is compared, so that the cost of a choice does
/// not grow with the fleet.
constexpr std::size_t SAMPLE_SIZE = 12;
/// \brief Endpoints with a known prefix that are compared as well.
constexpr std::size_t MAX_HOLDERS = 4;
/// \brief Costs within this part or this time count as equal: the reports are not more exact than that.
constexpr double NEAR_EQUAL_PART = 0.1;
constexpr double NEAR_EQUAL_SECONDS = 0.01;
/// \brief Engine time saved by a cached prefix or a fitting role shortens the wait of every later request, not of this one alone.
constexpr double SAVED_WORK_WEIGHT = 8;
/// \brief Work in the batch slows the request down even if it starts at once.
constexpr double BATCH_SLOWDOWN = 0.5;
/// \brief A little more than a call to another data centre of the region costs (docs/design.md, section 1.2).
constexpr double OTHER_DATA_CENTRE_SECONDS = 0.002;
/// \brief A customer's refusal in this region speaks for its next requests for this time; loads change within seconds.
constexpr Duration REFUSAL_MEMORY = Duration(2000);
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

bool Router::Impl::inOtherRegion(Index endpoint) const
{
    return endpoints[endpoint].configuration().region != region;
}

bool Router::Impl::serves(const RouteRequest &request, Index endpoint) const
{
    const auto &served = endpoints[endpoint].configuration().models;
    return std::find(served.begin(), served.end(), request.model) != served.end();
}

void Router::Impl::addHolders(const RouteRequest &request, bool otherRegions, std::vector<Index> &into) const
{
    for (const Index holder : cache.holders(request.cacheBlockHashes, MAX_HOLDERS)) {
        if (inOtherRegion(holder) == otherRegions && serves(request, holder)) {
            into.push_back(holder);
        }
    }
}

bool Router::Impl::admitted(const RouteRequest &request, Index endpoint, Time now)
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
        if (!admitted(request, index, now)) {
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

std::vector<Router::Impl::Candidate> Router::Impl::candidatesElsewhere(const RouteRequest &request, const Pool &pool, Time now)
{
    std::vector<Index> sampled;
    sample(pool.otherRegions, sampled);
    addHolders(request, true, sampled);
    return evaluate(request, sampled, now);
}

Router::Impl::Candidate Router::Impl::pick(const std::vector<Candidate> &candidates)
{
    const Candidate &least = *std::min_element(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.cost < right.cost;
    });
    const Seconds tolerance = (least.startWait + least.service) * NEAR_EQUAL_PART + NEAR_EQUAL_SECONDS;
    std::vector<const Candidate *> nearEqual;
    for (const Candidate &candidate : candidates) {
        if (candidate.cost <= least.cost + tolerance) {
            nearEqual.push_back(&candidate);
        }
    }
    // Two random choices: several entries that saw the same late report do not all choose the same endpoint.
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

bool Router::Impl::mayLeaveRegion(const RouteRequest &request, Time now) const
{
    if (!request.excluded.empty()) {
        return true;
    }
    const auto refused = refusedHere.find(request.customer);
    return refused != refusedHere.end() && now - refused->second <= REFUSAL_MEMORY;
}

RouteDecision Router::Impl::decide(const Candidate &chosen) const
{
    RouteDecision decision;
    decision.endpoint = endpoints[chosen.endpoint].configuration().id;
    decision.predictedWait = Duration(static_cast<std::int64_t>(chosen.startWait * 1000));
    decision.cachedTokens = chosen.cached;
    decision.crossRegion = inOtherRegion(chosen.endpoint);
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
    const std::vector<Impl::Candidate> here = impl_->candidatesInRegion(request, *pool, now);
    std::optional<Impl::Candidate> best;
    if (!here.empty()) {
        const std::vector<Impl::Candidate> inTime = Impl::startingWithin(here, allowed);
        best = impl_->pick(inTime.empty() ? here : inTime);
    }
    if (best && (best->startWait <= allowed || !impl_->mayLeaveRegion(request, now))) {
        return impl_->decide(*best);
    }
    const std::vector<Impl::Candidate> elsewhere = Impl::startingWithin(impl_->candidatesElsewhere(request, *pool, now), allowed);
    if (!elsewhere.empty()) {
        return impl_->decide(impl_->pick(elsewhere));
    }
    if (best && request.excluded.empty()) {
        // The prediction does not know the customer's place in the queue; the agent decides by the contract.
        return impl_->decide(*best);
    }
    if (!best) {
        return refusedDecision("no-endpoint", std::nullopt);
    }
    return refusedDecision("no-endpoint-in-time", Duration(static_cast<std::int64_t>((best->startWait - allowed) * 1000) + 1));
}

} // namespace mimosatally
