#include "dutylease.h"

#include <mimosatally/Http>

#include <algorithm>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr Duration RENEWAL_INTERVAL = Duration(1000);
constexpr Duration STORE_TIMEOUT = Duration(800);

DutyLeaseState::Options optionsOf(const GatewaySettings &settings)
{
    DutyLeaseState::Options options;
    options.lease = settings.orderLease;
    options.ordersWait = !settings.platformApi.address.empty() && !settings.platformApi.fencesChecked;
    return options;
}
} // namespace

DutyLease::DutyLease(GatewayState &gateway)
    : gateway_(gateway)
    , store_(gateway.io, parseAddress(gateway.settings.store))
    , member_(gateway.settings.process.value() + '-' + std::to_string(MilliClock::now().time_since_epoch().count()))
    , state_(optionsOf(gateway.settings))
{
}

awaitable<void> DutyLease::run(TaskContext &context)
{
    bool running = true;
    while (running) {
        if (state_.mayRenew(MilliClock::now())) {
            co_await renew();
        }
        updateOrderState();
        updateDutyState();
        running = co_await context.sleep(renewalPause());
    }
}

awaitable<void> DutyLease::renew()
{
    std::string failure;
    try {
        co_await join();
    } catch (const Error &error) {
        failure = error.what();
    }
    if (!failure.empty()) {
        gateway_.metrics.increment("mimosatally_store_failures_total", "topic=\"orders\"");
    }
    updateOrderState();
}

awaitable<void> DutyLease::join()
{
    // The lease is counted from before the call, since the store starts it when the call arrives.
    const Time sent = MilliClock::now();
    const std::int64_t known = state_.era() == gateway_.storeEra.current() ? state_.generation() : 0;
    const platform::Membership membership = co_await store_.joinOrderGroup(member_, known, gateway_.settings.orderLease, STORE_TIMEOUT);
    const Time now = MilliClock::now();
    if (gateway_.observeStoreEra(membership.era, "orders", now) == StoreEraTracker::Observation::Outdated) {
        co_return;
    }
    state_.recordGrant({membership.generation, gateway_.storeEra.current(), membership.holdsPartition}, sent, now);
}

Duration DutyLease::renewalPause()
{
    const Duration jitter(static_cast<Duration::rep>(static_cast<double>(RENEWAL_INTERVAL.count()) * gateway_.jitter() / 4));
    const Duration pause = RENEWAL_INTERVAL + jitter;
    const std::optional<Time> waitsUntil = state_.waitsUntil();
    const Time now = MilliClock::now();
    const bool waitEndsFirst = !gateway_.settings.platformApi.address.empty() && waitsUntil && *waitsUntil > now && *waitsUntil - now < pause;
    return waitEndsFirst ? *waitsUntil - now : pause;
}

bool DutyLease::coversOrders() const
{
    return state_.coversOrders(gateway_.storeEra, MilliClock::now());
}

bool DutyLease::coversDuties() const
{
    return state_.coversDuties(gateway_.storeEra, MilliClock::now());
}

void DutyLease::recordRejection(std::int64_t token)
{
    if (gateway_.settings.platformApi.address.empty()) {
        state_.recordRejection(token);
    } else {
        recordDutyRejection(token);
    }
}

void DutyLease::recordDutyRejection(std::int64_t token)
{
    state_.recordDutyRejection(token, MilliClock::now());
}

const DutyLeaseState &DutyLease::state() const
{
    return state_;
}

const ProcessId &DutyLease::member() const
{
    return member_;
}

void DutyLease::updateOrderState()
{
    const bool holdsNow = coversOrders();
    if (holdsNow == holdsOrders_) {
        return;
    }
    holdsOrders_ = holdsNow;
    logEvent(holdsNow ? LogEvent::OrderLeaseHeld : LogEvent::OrderLeaseLost, {{"generation", state_.generation()}, {"era", state_.era()}});
}

void DutyLease::updateDutyState()
{
    const bool holdsNow = coversDuties();
    gateway_.metrics.set("mimosatally_duty_lease_held", {}, holdsNow ? 1 : 0);
    gateway_.metrics.set("mimosatally_duty_token", {}, static_cast<double>(state_.token()));
    if (holdsNow == holdsDuties_) {
        return;
    }
    holdsDuties_ = holdsNow;
    logEvent(holdsNow ? LogEvent::DutyLeaseHeld : LogEvent::DutyLeaseLost,
             {{"token", state_.token()}, {"generation", state_.generation()}, {"era", state_.era()}});
}

} // namespace mimosatally::internal
