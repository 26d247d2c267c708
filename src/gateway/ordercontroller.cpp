#include "ordercontroller.h"

#include <mimosatally/Http>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Mean number of waiting requests per engine at which a phase is considered short of engines.
constexpr double MIN_MEAN_WAITING = 1;
constexpr Duration ORDER_TIMEOUT = Duration(1000);
/// \brief Largest report or answer of an engine, a JSON object of some hundred bytes.
constexpr std::size_t MAX_ENGINE_ANSWER_BYTES = std::size_t(64) * 1024;

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

OrderController::OrderController(GatewayState &gateway, DutyLease &lease)
    : gateway_(gateway)
    , lease_(lease)
{
}

awaitable<void> OrderController::run(TaskContext &context)
{
    // With the platform's API, the lease is renewed by a task of its own.
    const bool renewsLease = gateway_.settings.platformApi.address.empty();
    bool running = true;
    while (running) {
        if (renewsLease) {
            co_await lease_.renew();
        }
        if (lease_.coversOrders()) {
            co_await orderEngines();
        }
        running = co_await context.sleep(lease_.renewalPause());
    }
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
    if (!lease_.coversOrders() || record == gateway_.registry.endpoints().end()) {
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
    const DutyLeaseState &state = lease_.state();
    logEvent(LogEvent::PhaseOrderAnswered, {{"endpoint", change.engine}, {"generation", state.generation()}, {"era", state.era()}, {"result", result}});
}

awaitable<bool> OrderController::sendOrder(HttpClient &client, PhaseChange change, std::string &result)
{
    gateway_.router.reserveRequest(change.engine, MilliClock::now());
    HttpRequest reportRequest = platform::reportRequest();
    const HttpResponse reportResponse = co_await client.send(std::move(reportRequest), ORDER_TIMEOUT);
    const platform::EngineReport report = platform::decodeReport(reportResponse);
    if (report.busy || report.phase == change.phase || !lease_.coversOrders()) {
        result = report.busy ? "busy" : "not-needed";
        co_return false;
    }
    platform::PhaseOrder order;
    order.target = change.engine;
    order.phase = change.phase;
    order.holder = lease_.member();
    order.fencingToken = lease_.state().token();
    order.expectedOrders = report.ordersAccepted;
    logEvent(LogEvent::PhaseOrderSent,
             {{"endpoint", change.engine},
              {"phase", phaseName(change.phase)},
              {"generation", lease_.state().generation()},
              {"era", lease_.state().era()},
              {"expected_orders", order.expectedOrders}});
    gateway_.router.reserveRequest(change.engine, MilliClock::now());
    HttpRequest request = platform::encodeOrder(order);
    // Without the platform's API, engines reject what is sent after the lease has ended while the connection was made.
    std::function<bool()> allowed = [this] {
        return gateway_.settings.platformApi.address.empty() || lease_.coversOrders();
    };
    const HttpResponse response = co_await client.sendIf(std::move(request), ORDER_TIMEOUT, std::move(allowed));
    const platform::OrderAnswer answer = platform::decodeOrderAnswer(response);
    result = answerName(answer);
    if (answer == platform::OrderAnswer::Fenced) {
        lease_.recordRejection(order.fencingToken);
    }
    co_return answer == platform::OrderAnswer::Accepted || answer == platform::OrderAnswer::AlreadyHolds;
}

} // namespace mimosatally::internal
