#include "orderrunner.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
const std::string AUTHORITY_STREAM = "authority";
constexpr Duration LOG_TIMEOUT(2000);
constexpr Duration REPORT_TIMEOUT(1000);
constexpr Duration DRAIN_POLL_INTERVAL(20);
constexpr Duration READ_BACK_INTERVAL(100);
constexpr Duration IDLE_POLL_INTERVAL(1000);
constexpr int MAX_RECORDS_PER_READ = 500;

std::string nameOf(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Drain:
        return "drain";
    case OrderKind::Withdraw:
        return "withdraw";
    case OrderKind::LoadModel:
        return "loadModel";
    case OrderKind::UnloadModel:
        return "unloadModel";
    case OrderKind::LoadAdapter:
        return "loadAdapter";
    case OrderKind::UnloadAdapter:
        return "unloadAdapter";
    case OrderKind::ChangeRole:
        return "changeRole";
    }
    return {};
}

bool isAgentOrder(OrderKind kind)
{
    return kind == OrderKind::Drain || kind == OrderKind::Withdraw;
}

/// \brief Returns true if the endpoint stops serving while it executes the order, so that running requests must end first.
bool shouldDrainFirst(OrderKind kind)
{
    return kind == OrderKind::ChangeRole || kind == OrderKind::LoadModel || kind == OrderKind::UnloadModel;
}
} // namespace

OrderRunner::OrderRunner(boost::asio::io_context &io,
                         IncarnationId incarnation,
                         Duration maxLifetime,
                         LogClient &log,
                         EndpointClient &endpoint,
                         RequestQueue &queue,
                         AgentDecisions &decisions)
    : io_(io)
    , log_(log)
    , endpoint_(endpoint)
    , queue_(queue)
    , decisions_(decisions)
    , gate_(std::move(incarnation), {}, MilliClock::now(), maxLifetime)
{
}

void OrderRunner::setScopes(std::set<LeaseScope> scopes)
{
    gate_.setScopes(std::move(scopes));
}

void OrderRunner::onShutdown(std::function<void(std::string)> callback)
{
    onShutdown_ = std::move(callback);
}

awaitable<OrderResult> OrderRunner::execute(Order order)
{
    if (const auto refusal = gate_.receive(order, MilliClock::now())) {
        co_return refuse(order, std::string(toString(*refusal)));
    }
    if (shouldDrainFirst(order.kind)) {
        queue_.setPaused(true);
        co_await waitUntilIdle();
    }
    const Time readStart = MilliClock::now();
    if (!co_await readAuthority()) {
        const OrderRefusal refusal = gate_.abandon(order.id);
        resume();
        co_return refuse(order, std::string(toString(refusal)));
    }
    if (const auto refusal = gate_.authorize(order.id, readStart, MilliClock::now())) {
        resume();
        co_return refuse(order, std::string(toString(*refusal)));
    }
    co_return co_await write(std::move(order));
}

awaitable<OrderResult> OrderRunner::write(Order order)
{
    record(order, {});
    logEvent(LogEvent::OrderStarted, {{"order", order.id}, {"kind", nameOf(order.kind)}, {"argument", order.argument}, {"epoch", order.epoch}});
    EndpointOrderResult endpointResult = EndpointOrderResult::Done;
    if (isAgentOrder(order.kind)) {
        onShutdown_("order");
    } else {
        EndpointOrder message;
        message.id = order.id.value();
        message.kind = nameOf(order.kind);
        message.argument = order.argument;
        message.epoch = order.epoch;
        endpointResult = co_await endpoint_.order(std::move(message), gate_.remainingLifetime(MilliClock::now()));
    }
    gate_.finishWrite(endpointResult != EndpointOrderResult::Unknown, MilliClock::now());
    if (task_) {
        task_->wake();
    }
    OrderResult result;
    result.accepted = endpointResult == EndpointOrderResult::Done;
    result.highestEpoch = gate_.highestEpoch(order.scope);
    if (!result.accepted) {
        result.reason = endpointResult == EndpointOrderResult::Refused ? "endpoint-refused" : "endpoint-unknown";
    }
    logEvent(LogEvent::OrderFinished, {{"order", order.id}, {"result", result.accepted ? "done" : result.reason}});
    co_return result;
}

awaitable<bool> OrderRunner::readAuthority()
{
    try {
        while (true) {
            const Offset from = gate_.nextOffset();
            const LogReadResult read = co_await log_.read(AUTHORITY_STREAM, from, MAX_RECORDS_PER_READ, LOG_TIMEOUT);
            for (const LogRecord &record : read.records) {
                gate_.apply(record.offset, record.payload);
            }
            // The log may return fewer records than asked for, so only an empty answer marks the end.
            if (read.records.empty()) {
                co_return true;
            }
        }
    } catch (const Error &error) {
        logEvent(LogEvent::AuthorityUnread, {{"error", error.what()}});
    }
    co_return false;
}

awaitable<void> OrderRunner::waitUntilIdle()
{
    while (queue_.running() > 0 && gate_.remainingLifetime(MilliClock::now()) > Duration(0)) {
        co_await sleep(DRAIN_POLL_INTERVAL);
    }
}

awaitable<void> OrderRunner::run(TaskContext &context)
{
    task_ = std::shared_ptr<TaskContext>(std::shared_ptr<void>(), &context);
    Duration interval(0);
    // g++ 12 generates a trap for some coroutines with co_await in the condition of a while loop.
    bool running = co_await context.sleep(interval);
    while (running) {
        interval = IDLE_POLL_INTERVAL;
        if (gate_.state() == OrderGateState::ReadBackPending) {
            if (co_await readBack()) {
                resume();
            } else {
                interval = READ_BACK_INTERVAL;
            }
        }
        running = co_await context.sleep(interval);
    }
    task_.reset();
}

awaitable<bool> OrderRunner::readBack()
{
    const Time start = MilliClock::now();
    try {
        const EndpointReport report = co_await endpoint_.report(REPORT_TIMEOUT);
        if (report.orderInProgress || gate_.state() != OrderGateState::ReadBackPending) {
            co_return false;
        }
        co_return gate_.finishReadBack(start);
    } catch (const Error &) {
        co_return false;
    }
}

bool OrderRunner::isBusy() const
{
    return gate_.state() == OrderGateState::AuthorityPending || gate_.state() == OrderGateState::Writing;
}

void OrderRunner::handleEndpointLoss()
{
    // During a write, finishWrite() decides from when a read-back counts.
    if (gate_.state() == OrderGateState::Ready || gate_.state() == OrderGateState::AuthorityPending) {
        gate_.handleEndpointRestart(MilliClock::now());
    }
}

void OrderRunner::resume()
{
    queue_.setPaused(false);
    queue_.advance(MilliClock::now());
}

awaitable<void> OrderRunner::sleep(Duration duration)
{
    boost::asio::steady_timer timer(io_, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

OrderResult OrderRunner::refuse(const Order &order, const std::string &reason)
{
    record(order, reason);
    logEvent(LogEvent::OrderRefused, {{"order", order.id}, {"kind", nameOf(order.kind)}, {"reason", reason}});
    OrderResult result;
    result.reason = reason;
    result.highestEpoch = gate_.highestEpoch(order.scope);
    return result;
}

void OrderRunner::record(const Order &order, const std::string &reason)
{
    OrderInputs inputs;
    inputs.order = order.id.value();
    inputs.kind = nameOf(order.kind);
    inputs.argument = order.argument;
    inputs.scope = order.scope.value();
    inputs.epoch = order.epoch;
    inputs.reason = reason;
    decisions_.add(reason.empty() ? DecisionKind::OrderAccepted : DecisionKind::OrderRefused, {}, {}, MilliClock::now(), inputs);
}

} // namespace mimosatally::internal
