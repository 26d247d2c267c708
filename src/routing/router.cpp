#include "routerimpl.h"

#include <algorithm>
#include <cmath>

namespace mimosatally
{

namespace
{
/// \brief Expected output tokens before the first answer to a customer.
constexpr double INITIAL_OUTPUT_TOKENS = 128;
/// \brief Weight of one answer in the running mean of output tokens.
constexpr double OUTPUT_SMOOTHING = 0.125;
} // namespace

Router::Router(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Router::~Router() = default;
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;

void Router::setEndpoints(const std::vector<Endpoint> &endpoints, Time)
{
    for (internal::EndpointEstimate &endpoint : impl_->endpoints) {
        endpoint.setPresent(false);
    }
    impl_->models.clear();
    impl_->services.clear();
    for (const Endpoint &endpoint : endpoints) {
        const Impl::Index index = impl_->indexOf(endpoint);
        impl_->cache.setCapacity(index, static_cast<std::size_t>(std::max<std::int64_t>(endpoint.cacheBlocks, 0)));
        for (const ModelId &model : endpoint.models) {
            impl_->addToPool(impl_->models[model], index);
        }
        if (!endpoint.service.empty()) {
            impl_->addToPool(impl_->services[endpoint.service], index);
        }
    }
}

void Router::setLeaving(const EndpointId &endpoint, bool leaving)
{
    if (const auto found = impl_->indexes.find(endpoint); found != impl_->indexes.end()) {
        impl_->endpoints[found->second].setLeaving(leaving);
    }
}

void Router::reportLoad(const EndpointId &endpoint, const EndpointLoad &load, Time now)
{
    if (const auto found = impl_->indexes.find(endpoint); found != impl_->indexes.end()) {
        impl_->endpoints[found->second].reportLoad(load, now);
    }
}

void Router::reportCache(const EndpointId &endpoint, const std::vector<std::uint64_t> &stored, const std::vector<std::uint64_t> &evicted, Time)
{
    const auto found = impl_->indexes.find(endpoint);
    if (found == impl_->indexes.end()) {
        return;
    }
    for (const std::uint64_t block : evicted) {
        impl_->cache.evict(found->second, block);
    }
    for (const std::uint64_t block : stored) {
        impl_->cache.store(found->second, block);
    }
}

void Router::recordDispatch(const EndpointId &endpoint, const RouteRequest &request, Time now)
{
    const auto found = impl_->indexes.find(endpoint);
    if (found == impl_->indexes.end()) {
        return;
    }
    const auto blocks = static_cast<std::int64_t>(impl_->cache.cachedBlocks(found->second, request.cacheBlockHashes));
    const Tokens cached = std::min(Tokens(blocks * impl_->cacheBlockTokens.count()), request.promptTokens);
    internal::EndpointEstimate &estimate = impl_->endpoints[found->second];
    estimate.recordDispatch(request, estimate.serviceTime(request, cached), now);
    if (impl_->isInOtherRegion(found->second)) {
        impl_->crossRegionBytes += request.bodyBytes;
    }
    // The endpoint will cache the prompt's blocks; its cache events may be late or missing.
    for (const std::uint64_t block : request.cacheBlockHashes) {
        impl_->cache.store(found->second, block);
    }
}

void Router::recordResult(const EndpointId &endpoint, const RequestId &request, AttemptResult result, Tokens outputTokens, Time now)
{
    const auto found = impl_->indexes.find(endpoint);
    if (found == impl_->indexes.end()) {
        return;
    }
    const auto ended = impl_->endpoints[found->second].recordResult(request, result, now);
    if (!ended) {
        return;
    }
    if (result == AttemptResult::NotRun && !impl_->isInOtherRegion(found->second)) {
        impl_->lastRefusalInRegion[ended->customer] = now;
    }
    if (result != AttemptResult::Answered) {
        return;
    }
    Impl::OutputMean &mean = impl_->outputMeans[{ended->customer, ended->model}];
    const auto tokens = static_cast<double>(outputTokens.count());
    mean.tokens = mean.hasSamples ? mean.tokens + (tokens - mean.tokens) * OUTPUT_SMOOTHING : tokens;
    mean.hasSamples = true;
}

Tokens Router::expectedOutput(const CustomerId &customer, const ModelId &model) const
{
    const auto found = impl_->outputMeans.find({customer, model});
    const double tokens = found == impl_->outputMeans.end() ? INITIAL_OUTPUT_TOKENS : found->second.tokens;
    return Tokens(std::lround(tokens));
}

Bytes Router::crossRegionBytes() const
{
    return impl_->crossRegionBytes;
}

Router::Builder &Router::Builder::location(RegionId region, DataCentreId dataCentre)
{
    region_ = std::move(region);
    dataCentre_ = std::move(dataCentre);
    return *this;
}

Router::Builder &Router::Builder::seed(std::uint64_t seed)
{
    seed_ = seed;
    return *this;
}

Router::Builder &Router::Builder::cacheBlockTokens(Tokens tokens)
{
    cacheBlockTokens_ = tokens;
    return *this;
}

Router Router::Builder::build() const
{
    auto impl = std::make_unique<Impl>();
    impl->region = region_;
    impl->dataCentre = dataCentre_;
    impl->random.seed(seed_);
    impl->cacheBlockTokens = cacheBlockTokens_;
    return Router(std::move(impl));
}

} // namespace mimosatally
