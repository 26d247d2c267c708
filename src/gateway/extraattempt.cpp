#include "extraattempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
constexpr unsigned FIRST_SUCCESS_STATUS = 200;
constexpr unsigned FIRST_REDIRECT_STATUS = 300;
constexpr unsigned STATUS_SERVER_ERROR = 500;
constexpr std::size_t MAX_ANSWER_BYTES = std::size_t(16) * 1024 * 1024;
} // namespace

ExtraAttempt::ExtraAttempt(GatewayState &gateway, Plan plan)
    : gateway_(gateway)
    , plan_(std::move(plan))
    , guard_(std::make_shared<CallGuard>(gateway.io, plan_.deadline))
    , call_(gateway.connections, *guard_, gateway.answerBytes)
    , startedAt_(MilliClock::now())
{
}

void ExtraAttempt::start(std::function<void()> ended)
{
    ended_ = std::move(ended);
    boost::asio::co_spawn(
        gateway_.io,
        [self = shared_from_this()] {
            return self->run();
        },
        boost::asio::detached);
}

void ExtraAttempt::stop()
{
    ended_ = nullptr;
    if (result_ == Result::Running) {
        result_ = Result::Stopped;
        endedAt_ = MilliClock::now();
        guard_->callerDisconnected();
    }
}

awaitable<void> ExtraAttempt::run()
{
    const AttemptPlan routerPlan {plan_.endpoint, AttemptWork::Run};
    const PhaseRouter::Ticket ticket = gateway_.router.begin(routerPlan, plan_.placement, MilliClock::now());
    platform::EndpointRequest request = platform::encodeAttempt(plan_.request, plan_.attempt);
    // Until the attempt has ended, its request may be on its way.
    mayHaveRun_ = true;
    const CallProgress progress = co_await call_.open(plan_.record.address, std::move(request), plan_.id, plan_.attemptDeadline);
    received_ = progress != CallProgress::NotConnected;
    mayHaveRun_ = received_;
    bool answered = false;
    if (progress == CallProgress::HeadReceived) {
        static_cast<void>(gateway_.router.observeAnswer(ticket, call_.answer(), MilliClock::now()));
        mayHaveRun_ = !call_.answer().notExecuted;
        answered = co_await receiveAnswer();
    }
    gateway_.router.end(ticket, answered ? AttemptOutcome::Answered : failedOutcome(), MilliClock::now());
    if (result_ == Result::Running) {
        result_ = answered ? Result::Answered : Result::Failed;
        endedAt_ = MilliClock::now();
    }
    if (const auto ended = std::exchange(ended_, nullptr)) {
        ended();
    }
}

awaitable<bool> ExtraAttempt::receiveAnswer()
{
    const EndpointAnswer &answer = call_.answer();
    const bool success = answer.status >= FIRST_SUCCESS_STATUS && answer.status < FIRST_REDIRECT_STATUS;
    if (answer.notExecuted || answer.status >= STATUS_SERVER_ERROR || (success && !answer.sealed)) {
        co_return false;
    }
    guard_->extendAttempt(plan_.deadline);
    std::string body = co_await call_.readAll(MAX_ANSWER_BYTES);
    const bool whole = co_await call_.confirmWhole(ContentEnd::Opaque, gateway_.livenessProbe, plan_.endpoint, plan_.record.startedAt);
    if (!whole) {
        co_return false;
    }
    static_cast<http::fields &>(response_) = platform::fieldsForCaller(call_.header());
    response_.result(answer.status);
    response_.body() = std::move(body);
    call_.release();
    co_return true;
}

AttemptOutcome ExtraAttempt::failedOutcome() const
{
    if (result_ == Result::Stopped) {
        return AttemptOutcome::Abandoned;
    }
    if (received_ && !mayHaveRun_) {
        return AttemptOutcome::Rejected;
    }
    return guard_->stopReason() == StopReason::None ? AttemptOutcome::Failed : AttemptOutcome::TimedOut;
}

ExtraAttempt::Result ExtraAttempt::result() const
{
    return result_;
}

bool ExtraAttempt::mayHaveRun() const
{
    return mayHaveRun_;
}

bool ExtraAttempt::wasReceived() const
{
    return received_;
}

HttpResponse ExtraAttempt::takeResponse()
{
    return std::move(response_);
}

EndpointCall &ExtraAttempt::call()
{
    return call_;
}

const EndpointRecord &ExtraAttempt::record() const
{
    return plan_.record;
}

const EndpointId &ExtraAttempt::endpoint() const
{
    return plan_.endpoint;
}

Duration ExtraAttempt::workTime(Time now) const
{
    return endedAt_.value_or(now) - startedAt_;
}

} // namespace mimosatally::internal
