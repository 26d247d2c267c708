#include <mimosatally/Supervision>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally
{

using boost::asio::awaitable;

Supervisor::Child::Child(boost::asio::io_context &io, std::string childName, Task childTask, std::function<void()> stopHandler)
    : name(std::move(childName))
    , task(std::move(childTask))
    , onStop(std::move(stopHandler))
    , context(std::make_shared<TaskContext>(io))
    , endSignal(io, boost::asio::steady_timer::time_point::max())
{
}

Supervisor::Supervisor(boost::asio::io_context &io, std::uint64_t seed, Options options, EscalationHandler onEscalation)
    : io_(io)
    , random_(seed)
    , options_(options)
    , onEscalation_(std::move(onEscalation))
{
}

std::shared_ptr<TaskContext> Supervisor::start(std::string name, Task task, std::function<void()> onStop)
{
    removeEnded();
    const auto child = std::make_shared<Child>(io_, std::move(name), std::move(task), std::move(onStop));
    children_.push_back(child);
    boost::asio::co_spawn(io_, run(child), boost::asio::detached);
    return child->context;
}

void Supervisor::removeEnded()
{
    std::erase_if(children_, [](const std::shared_ptr<Child> &child) {
        return child->hasEnded;
    });
}

awaitable<void> Supervisor::run(std::shared_ptr<Child> child)
{
    Duration backoff = options_.initialBackoff;
    while (!child->context->isStopping()) {
        const Time started = MilliClock::now();
        std::string failure;
        if (co_await runOnce(*child, failure)) {
            break;
        }
        if (MilliClock::now() - started >= options_.stableAfter) {
            backoff = options_.initialBackoff;
        }
        const Duration delay = withJitter(backoff);
        ++restarts_;
        logEvent(LogEvent::ChildTaskRestarted, {{"task", child->name}, {"error", failure}, {"backoff_ms", delay}});
        if (!co_await child->context->sleep(delay)) {
            break;
        }
        backoff = std::min(backoff * 2, options_.maxBackoff);
    }
    child->hasEnded = true;
    child->endSignal.cancel();
}

/// \return true if the task is finished; otherwise \a failure holds the error message for the restart.
awaitable<bool> Supervisor::runOnce(Child &child, std::string &failure)
{
    try {
        co_await child.task(*child.context);
        co_return true;
    } catch (const InvariantViolation &violation) {
        escalate(violation);
        co_return true;
    } catch (const std::exception &error) {
        failure = error.what();
    }
    co_return false;
}

awaitable<void> Supervisor::stop()
{
    while (!children_.empty()) {
        const std::shared_ptr<Child> child = children_.back();
        children_.pop_back();
        child->context->stop();
        if (child->onStop) {
            child->onStop();
        }
        if (!child->hasEnded) {
            boost::system::error_code ignored;
            co_await child->endSignal.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }
}

void Supervisor::escalate(const InvariantViolation &violation)
{
    logEvent(LogEvent::InvariantViolated, {{"statement", violation.what()}});
    if (!escalated_) {
        escalated_ = true;
        onEscalation_();
    }
}

bool Supervisor::hasEscalated() const
{
    return escalated_;
}

std::uint64_t Supervisor::restarts() const
{
    return restarts_;
}

/// \brief Random duration between half of \a backoff and \a backoff, so that processes that failed together do not retry together.
Duration Supervisor::withJitter(Duration backoff)
{
    std::uniform_int_distribution<Duration::rep> distribution(backoff.count() / 2, backoff.count());
    return Duration(distribution(random_));
}

} // namespace mimosatally
