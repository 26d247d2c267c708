#include "ordercontroller.h"

#include <mimosatally/Http>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Mean number of waiting requests per engine at which a phase is considered short of engines.
constexpr double MIN_MEAN_WAITING = 1;
constexpr Duration RENEWAL_INTERVAL = Duration(1000);
constexpr Duration STORE_TIMEOUT = Duration(800);
constexpr Duration ORDER_TIMEOUT = Duration(1000);
/// \brief Largest report or answer of an engine, a JSON object of some hundred bytes.
constexpr std::size_t MAX_ENGINE_ANSWER_BYTES = std::size_t(64) * 1024;
/// \brief Time for an order to reach its engine before the lease expires.
constexpr Duration LEASE_MARGIN = Duration(500);
/// \brief Generations of one era; the era takes the bits above.
constexpr std::int64_t GENERATIONS_PER_ERA = 1LL << 32;

std::string_view phaseName(EnginePhase phase)
{
    return phase == EnginePhase::Prefill ? "prefill" : "decode";
}

std::string_view answerName(platform::OrderAnswer answer)
{
    switch (answer) {
    case platform::OrderAnswer::Accepted:
        return "accepted";
    case platform::OrderAnswer::AlreadyHolds:
        return "already-holds";
    case platform::OrderAnswer::Conflict:
        return "conflict";
    case platform::OrderAnswer::Fenced:
        return "fenced";
    case platform::OrderAnswer::Rejected:
        return "rejected";
    }
    return "rejected";
}
} // namespace

OrderController::OrderController(GatewayState &gateway)
    : gateway_(gateway)
    , store_(gateway.io, parseAddress(gateway.settings.store))
    , member_(gateway.settings.process.value() + '-' + std::to_string(MilliClock::now().time_since_epoch().count()))
{
}

awaitable<void> OrderController::run(TaskContext &context)
{
    bool running = true;
    while (running) {
        std::string failure;
        try {
            co_await renewLease();
        } catch (const Error &error) {
            failure = error.what();
        }
        if (!failure.empty()) {
            gateway_.metrics.increment("mimosatally_store_failures_total", "topic=\"orders\"");
        }
        updateLeaseState(holdsLease(MilliClock::now()));
        if (holdsLease_) {
            co_await orderEngines();
        }
        const Duration jitter(static_cast<Duration::rep>(static_cast<double>(RENEWAL_INTERVAL.count()) * gateway_.jitter() / 4));
        running = co_await context.sleep(RENEWAL_INTERVAL + jitter);
    }
}

awaitable<void> OrderController::renewLease()
{
    // The lease is counted from before the call, since the store starts it when the call arrives.
    const Time sent = MilliClock::now();
    const Duration lease = gateway_.settings.orderLease;
    const std::int64_t known = generationEra_ == gateway_.storeEra.current() ? generation_ : 0;
    const platform::Membership membership = co_await store_.joinOrderGroup(member_, known, lease, STORE_TIMEOUT);
    if (gateway_.observeStoreEra(membership.era, "orders", MilliClock::now()) == StoreEraTracker::Observation::Outdated) {
        co_return;
    }
    generation_ = membership.generation;
    generationEra_ = gateway_.storeEra.current();
    leaseUntil_ = membership.holdsPartition ? sent + lease : Time::min();
}

std::int64_t OrderController::fencingToken() const
{
    return generationEra_.count() * GENERATIONS_PER_ERA + generation_;
}

bool OrderController::holdsLease(Time now) const
{
    const StoreEraTracker &era = gateway_.storeEra;
    const bool covered = leaseUntil_ != Time::min() && now + LEASE_MARGIN < leaseUntil_ && generationEra_ == era.current();
    // In an era that a restore has begun, the holder of the last era may still count on its lease.
    const bool predecessorExpired = era.current() == StoreEra() || now - era.since() >= gateway_.settings.orderLease;
    return covered && predecessorExpired && fencingToken() != rejectedToken_;
}

void OrderController::updateLeaseState(bool holdsNow)
{
    if (holdsNow == holdsLease_) {
        return;
    }
    holdsLease_ = holdsNow;
    logEvent(holdsNow ? LogEvent::OrderLeaseHeld : LogEvent::OrderLeaseLost, {{"generation", generation_}, {"era", generationEra_}});
}

std::map<SoftwareVersion, std::vector<BalancedEngine>> OrderController::enginesOf(const ServiceId &service) const
{
    std::map<SoftwareVersion, std::vector<BalancedEngine>> engines;
    for (const auto &[id, record] : gateway_.registry.endpoints()) {
        if (record.service == service && record.phase && !record.leaving) {
            const auto region = gateway_.settings.regions.find(record.dataCentre);
            const std::optional<SpeedUse> speed = gateway_.router.speedUse(id, MilliClock::now());
            engines[record.version].push_back(
                {id, region == gateway_.settings.regions.end() ? RegionId() : region->second, *record.phase, record.startedAt, speed ? speed->speed : 1});
        }
    }
    return engines;
}

PhasePressure OrderController::pressureOf(const ServiceId &service) const
{
    const Time now = MilliClock::now();
    PhasePressure pressure;
    pressure.serving = gateway_.hasReceivedCalls();
    pressure.prefillWaiting = gateway_.router.meanWaiting(service, EnginePhase::Prefill, now) >= MIN_MEAN_WAITING;
    pressure.decodeWaiting = gateway_.router.meanWaiting(service, EnginePhase::Decode, now) >= MIN_MEAN_WAITING;
    return pressure;
}

awaitable<void> OrderController::orderEngines()
{
    if (!gateway_.configuration) {
        co_return;
    }
    const auto configuration = gateway_.configuration;
    for (const auto &[id, service] : configuration->services) {
        if (!service.engine) {
            continue;
        }
        const double share = PhaseBalancer::prefillShareFor(gateway_.settings.prefillShare, service.engine->slots);
        const std::map<SoftwareVersion, std::vector<BalancedEngine>> engines = enginesOf(id);
        std::erase_if(balancers_, [&](const auto &entry) {
            return entry.first.first == id && !engines.contains(entry.first.second);
        });
        for (const auto &[version, enginesOfVersion] : engines) {
            PhaseBalancer &balancer = balancers_.try_emplace({id, version}, share).first->second;
            balancer.setPrefillShare(share);
            const std::vector<PhaseChange> changes = balancer.plan(enginesOfVersion, pressureOf(id), MilliClock::now());
            for (const PhaseChange &change : changes) {
                co_await orderPhaseChange(balancer, change);
            }
        }
    }
}

awaitable<void> OrderController::orderPhaseChange(PhaseBalancer &balancer, PhaseChange change)
{
    const auto record = gateway_.registry.endpoints().find(change.engine);
    if (!holdsLease(MilliClock::now()) || record == gateway_.registry.endpoints().end()) {
        balancer.recordRejection(change.engine, MilliClock::now());
        co_return;
    }
    HttpClient::Options options;
    options.maxResponseBytes = MAX_ENGINE_ANSWER_BYTES;
    // Nothing in an answer ties it to its call, so the report and the order each have a connection of their own (docs/answers.md).
    options.maxIdleConnections = 0;
    HttpClient client(gateway_.io, record->second.address, options);
    std::string result;
    bool accepted = false;
    try {
        accepted = co_await sendOrder(client, change, result);
    } catch (const UnreachableError &error) {
        // The order may still be carried out, so the engine gets no other order during the lifetime of this one.
        result = error.what();
        accepted = true;
    } catch (const MalformedInputError &error) {
        result = error.what();
    }
    if (!accepted) {
        balancer.recordRejection(change.engine, MilliClock::now());
    }
    logEvent(LogEvent::PhaseOrderAnswered, {{"endpoint", change.engine}, {"generation", generation_}, {"era", generationEra_}, {"result", result}});
}

awaitable<bool> OrderController::sendOrder(HttpClient &client, PhaseChange change, std::string &result)
{
    gateway_.router.reserveRequest(change.engine, MilliClock::now());
    HttpRequest reportRequest = platform::reportRequest();
    const HttpResponse reportResponse = co_await client.send(std::move(reportRequest), ORDER_TIMEOUT);
    const platform::EngineReport report = platform::decodeReport(reportResponse);
    if (report.busy || report.phase == change.phase || !holdsLease(MilliClock::now())) {
        result = report.busy ? "busy" : "not-needed";
        co_return false;
    }
    platform::PhaseOrder order;
    order.target = change.engine;
    order.phase = change.phase;
    order.holder = member_;
    order.fencingToken = fencingToken();
    order.expectedOrders = report.ordersAccepted;
    logEvent(LogEvent::PhaseOrderSent,
             {{"endpoint", change.engine},
              {"phase", phaseName(change.phase)},
              {"generation", generation_},
              {"era", generationEra_},
              {"expected_orders", order.expectedOrders}});
    gateway_.router.reserveRequest(change.engine, MilliClock::now());
    HttpRequest request = platform::encodeOrder(order);
    const HttpResponse response = co_await client.send(std::move(request), ORDER_TIMEOUT);
    const platform::OrderAnswer answer = platform::decodeOrderAnswer(response);
    result = answerName(answer);
    if (answer == platform::OrderAnswer::Fenced) {
        rejectedToken_ = order.fencingToken;
    }
    co_return answer == platform::OrderAnswer::Accepted || answer == platform::OrderAnswer::AlreadyHolds;
}

} // namespace mimosatally::internal
