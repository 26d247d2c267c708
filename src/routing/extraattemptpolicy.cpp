#include <mimosatally/routing/extraattemptpolicy.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <utility>

namespace mimosatally
{

namespace
{
namespace acc = boost::accumulators;

constexpr double DELAY_QUANTILE = 0.95;
/// \brief Times of one generation of samples; a quantile over the life of a process would not follow the service.
constexpr Duration GENERATION = Duration(30'000);
constexpr Duration REFUSAL_MEMORY = Duration(1000);
/// \brief The service as a whole is slow if more than one of so many calls is.
constexpr std::size_t SLOW_DIVISOR = 4;
constexpr Duration BUCKET = Duration(1000);
/// \brief Whole seconds of the window, and the second that has begun.
constexpr std::size_t BUCKETS = static_cast<std::size_t>(ExtraAttemptPolicy::WINDOW / BUCKET) + 1;

/// \brief Times to the first byte of one route.
class FirstByteTimes
{
public:
    void record(Duration time, Time now)
    {
        if (acc::count(current_) == 0) {
            since_ = now;
        } else if (now - since_ >= GENERATION && acc::count(current_) >= ExtraAttemptPolicy::MIN_SAMPLES) {
            previous_ = std::exchange(current_, Distribution(acc::quantile_probability = DELAY_QUANTILE));
            since_ = now;
        }
        current_(static_cast<double>(time.count()));
    }

    [[nodiscard]] std::optional<Duration> quantile() const
    {
        const Distribution &source = acc::count(current_) >= ExtraAttemptPolicy::MIN_SAMPLES ? current_ : previous_;
        if (acc::count(source) < ExtraAttemptPolicy::MIN_SAMPLES) {
            return std::nullopt;
        }
        return Duration(static_cast<Duration::rep>(acc::p_square_quantile(source)) + 1);
    }

private:
    using Distribution = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

    Distribution current_ {acc::quantile_probability = DELAY_QUANTILE};
    Distribution previous_ {acc::quantile_probability = DELAY_QUANTILE};
    Time since_ = Time::min();
};

/// \brief Counts events of the last WINDOW, by seconds.
class WindowCount
{
public:
    void add(Time now)
    {
        Bucket &bucket = buckets_.at(static_cast<std::size_t>(secondOf(now)) % BUCKETS);
        if (bucket.second != secondOf(now)) {
            bucket = {secondOf(now), 0};
        }
        ++bucket.count;
    }

    /// \param oldestIncluded the second that is partly outside the window counts as well.
    [[nodiscard]] std::int64_t count(Time now, bool oldestIncluded) const
    {
        const std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(BUCKETS) + (oldestIncluded ? 1 : 2);
        std::int64_t sum = 0;
        for (const Bucket &bucket : buckets_) {
            sum += bucket.second >= oldest && bucket.second <= secondOf(now) ? bucket.count : 0;
        }
        return sum;
    }

private:
    struct Bucket {
        std::int64_t second = -1;
        std::int64_t count = 0;
    };

    static std::int64_t secondOf(Time now)
    {
        return now.time_since_epoch() / BUCKET;
    }

    std::array<Bucket, BUCKETS> buckets_;
};

struct ServiceCounts {
    WindowCount requests;
    WindowCount extraAttempts;
    std::optional<Time> lastRefusal;
};

/// \brief Call that waits for its first byte.
struct WaitingCall {
    ServiceId service;
    RouteId route;
    Time sentAt;
    /// \brief Time from which on the call is slow.
    Time slowFrom;
};
} // namespace

std::string_view toString(ExtraAttemptDenial denial)
{
    switch (denial) {
    case ExtraAttemptDenial::LimitUsedUp:
        return "limit-used-up";
    case ExtraAttemptDenial::BudgetReserved:
        return "budget-reserved";
    case ExtraAttemptDenial::NoFreeSlot:
        return "no-free-slot";
    case ExtraAttemptDenial::RecentRefusal:
        return "recent-refusal";
    case ExtraAttemptDenial::ServiceSlow:
        return "service-slow";
    }
    return "";
}

struct ExtraAttemptPolicy::Impl {
    [[nodiscard]] std::optional<Duration> quantile(const ServiceId &service, const RouteId &route) const
    {
        const auto found = times.find({service, route});
        return found == times.end() ? std::nullopt : found->second.quantile();
    }

    double limit = 0;
    CallId lastCall = 0;
    std::map<CallId, WaitingCall> waiting;
    std::map<ServiceId, ServiceCounts> services;
    std::map<std::pair<ServiceId, RouteId>, FirstByteTimes> times;
};

ExtraAttemptPolicy::ExtraAttemptPolicy(double limit)
    : impl_(std::make_unique<Impl>())
{
    impl_->limit = limit;
}

ExtraAttemptPolicy::~ExtraAttemptPolicy() = default;

bool ExtraAttemptPolicy::isEnabled() const
{
    return impl_->limit > 0;
}

ExtraAttemptPolicy::CallId ExtraAttemptPolicy::begin(const ServiceId &service, const RouteId &route, Time now)
{
    impl_->services[service].requests.add(now);
    const std::optional<Duration> usual = impl_->quantile(service, route);
    impl_->waiting.emplace(++impl_->lastCall, WaitingCall {service, route, now, usual ? now + *usual : Time::max()});
    return impl_->lastCall;
}

void ExtraAttemptPolicy::recordFirstByte(CallId call, Time now)
{
    const auto found = impl_->waiting.find(call);
    if (found == impl_->waiting.end()) {
        return;
    }
    impl_->times[{found->second.service, found->second.route}].record(now - found->second.sentAt, now);
    impl_->waiting.erase(found);
}

void ExtraAttemptPolicy::end(CallId call)
{
    impl_->waiting.erase(call);
}

void ExtraAttemptPolicy::recordRefusal(const ServiceId &service, Time now)
{
    impl_->services[service].lastRefusal = now;
}

std::optional<Duration> ExtraAttemptPolicy::delay(const ServiceId &service, const RouteId &route, Duration predicted) const
{
    const std::optional<Duration> usual = impl_->quantile(service, route);
    return usual ? std::optional(std::max(*usual, predicted)) : std::nullopt;
}

ExtraAttemptInputs ExtraAttemptPolicy::inputs(CallId call, Time now) const
{
    ExtraAttemptInputs result;
    const auto asking = impl_->waiting.find(call);
    const auto counts = asking == impl_->waiting.end() ? impl_->services.end() : impl_->services.find(asking->second.service);
    if (counts == impl_->services.end()) {
        return result;
    }
    // What is partly outside the window counts against an extra attempt, so that no window has more of them than the limit.
    result.requests = counts->second.requests.count(now, false);
    result.extraAttempts = counts->second.extraAttempts.count(now, true);
    for (const auto &[id, other] : impl_->waiting) {
        if (id != call && other.service == asking->second.service) {
            ++result.running;
            result.slow += now >= other.slowFrom ? 1 : 0;
        }
    }
    const std::optional<Time> lastRefusal = counts->second.lastRefusal;
    if (lastRefusal) {
        result.sinceRefusal = now - *lastRefusal;
    }
    return result;
}

std::optional<ExtraAttemptDenial> ExtraAttemptPolicy::tryStart(CallId call, bool freeSlot, Budget &budget, Time now)
{
    const auto asking = impl_->waiting.find(call);
    if (asking == impl_->waiting.end()) {
        return ExtraAttemptDenial::LimitUsedUp;
    }
    const ExtraAttemptInputs known = inputs(call, now);
    if (!freeSlot) {
        return ExtraAttemptDenial::NoFreeSlot;
    }
    if (known.sinceRefusal && *known.sinceRefusal <= REFUSAL_MEMORY) {
        return ExtraAttemptDenial::RecentRefusal;
    }
    if (known.slow * SLOW_DIVISOR > known.running) {
        return ExtraAttemptDenial::ServiceSlow;
    }
    if (static_cast<double>(known.extraAttempts + 1) > impl_->limit * static_cast<double>(known.requests)) {
        return ExtraAttemptDenial::LimitUsedUp;
    }
    const bool granted = budget.tryExtraAttempt(asking->second.service, now);
    if (!granted) {
        return ExtraAttemptDenial::BudgetReserved;
    }
    impl_->services[asking->second.service].extraAttempts.add(now);
    return std::nullopt;
}

} // namespace mimosatally
