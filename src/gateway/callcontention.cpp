#include "callcontention.h"

#include "callflow.h"
#include "engineorder.h"
#include "logtext.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Longest time until a call that waits is placed again: slots that other processes free are seen only in the engines' reports.
constexpr Duration PLACE_AGAIN_INTERVAL = Duration(25);
/// \brief Longest prompt that is prefilled within one batch step is of this class or a lower one.
constexpr int SHORT_PREFILL_CLASS = 1;
} // namespace

CallContention::CallContention(GatewayState &gateway, const CallRequest &call, const Route &route, const CallerOrganisation &organisation, Time arrived)
    : gateway_(gateway)
    , request_(call.id)
    , arrived_(arrived)
{
    kind_.organisation = organisation.id;
    kind_.rank = gateway.contention.urgencies().rankOf(organisation.priority, route.priority);
    kind_.tokens = call.promptTokens + call.maxOutputTokens;
    kind_.isShort = prefillClassOf(call.promptTokens) <= SHORT_PREFILL_CLASS;
    kind_.latencyTarget = route.latencyTarget;
}

CallContention::~CallContention()
{
    if (startedAt_) {
        gateway_.contention.recordEnd(kind_, MilliClock::now() - *startedAt_);
        gateway_.roomWaiters.wakeFirst(kind_.service);
    }
}

double CallContention::reservedSlots(const ServiceId &service, Time now)
{
    if (!isRecorded_) {
        kind_.service = service;
        gateway_.contention.recordArrival(kind_, now);
        isRecorded_ = true;
    }
    if (gateway_.contention.needsSlots(kind_.service, now)) {
        gateway_.contention.reportSlots(kind_.service, gateway_.router.slots(kind_.service, now), now);
    }
    const double slots = gateway_.contention.reservedSlots(kind_, now);
    if (kind_.rank > 0 || !kind_.isShort) {
        gateway_.contentionReport.recordReserve(kind_.service, slots, now);
    }
    return slots;
}

ContentionDecision CallContention::decide(const Placement &placement, Time deadline, Time now)
{
    ContentionInput input;
    input.firstByteMs = placement.firstByteMs;
    input.queueMs = placement.queueMs;
    input.withinReserve = placement.withinReserve;
    input.waitingAhead = gateway_.roomWaiters.ahead(kind_.service, waitingOrder());
    input.elapsed = now - arrived_;
    input.remainingTime = deadline - now;
    const ContentionDecision decision = gateway_.contention.decide(kind_, input, gateway_.jitter(), now);
    if (const auto *refusal = std::get_if<RefuseCall>(&decision)) {
        gateway_.contentionReport.recordRefused(request_, kind_, *refusal, gateway_.contention.figures());
    }
    return decision;
}

void CallContention::start(const Placement &placement, Time now)
{
    startedAt_ = now;
    gateway_.contention.recordStart(kind_, placement.firstByteMs - placement.queueMs, now);
    gateway_.contentionReport.recordSent(kind_);
    if (waited_ > Duration(0)) {
        gateway_.contentionReport.recordWaited(request_, kind_, waited_);
    }
}

void CallContention::recordWait(Time from)
{
    waited_ += MilliClock::now() - from;
}

WaitingOrder CallContention::waitingOrder() const
{
    return {kind_.rank, arrived_ + kind_.latencyTarget};
}

int CallContention::engineOrder(Tokens prefillTokens) const
{
    return gateway_.contention.urgencies().engineOrder(kind_.rank, prefillTokens);
}

const ContendedCallKind &CallContention::kind() const
{
    return kind_;
}

int CallFlow::orderAtEngine(Tokens prefillTokens) const
{
    return contention_ ? contention_->engineOrder(prefillTokens) : engineOrder(route_.priority, prefillTokens);
}

awaitable<std::optional<bool>> CallFlow::admitContended(Placement placement, Time now)
{
    if (!contention_) {
        co_return std::nullopt;
    }
    CallContention &contention = *contention_;
    const ContentionDecision decision = contention.decide(placement, guard_->deadline(), now);
    if (std::holds_alternative<SendNow>(decision)) {
        contention.start(placement, now);
        co_return std::nullopt;
    }
    if (const auto *refusal = std::get_if<RefuseCall>(&decision)) {
        lastFailure_ = "contended, " + std::string(reasonName(refusal->reason)) + ", predicted " + truncatedMs(placement.firstByteMs) + " ms, queue "
                       + truncatedMs(placement.queueMs) + " ms";
        co_await refuse(refusal->retryAfter, "predicted-late");
        co_return false;
    }
    const Time end = std::min(std::get<WaitForRoom>(decision).until, now + PLACE_AGAIN_INTERVAL);
    boost::asio::steady_timer timer(gateway_.io, std::max(end - now, Duration(1)));
    const RoomWaiters::Entry entry(gateway_.roomWaiters, contention.kind().service, contention.waitingOrder(), timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    contention.recordWait(now);
    co_return true;
}

} // namespace mimosatally::internal
