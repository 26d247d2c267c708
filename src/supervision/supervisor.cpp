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
    , ended(io, boost::asio::steady_timer::time_point::max())
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
    dropEnded();
    const auto child = std::make_shared<Child>(io_, std::move(name), std::move(task), std::move(onStop));
    children_.push_back(child);
    boost::asio::co_spawn(io_, run(child), boost::asio::detached);
    return child->context;
}

void Supervisor::dropEnded()
{
    std::erase_if(children_, [](const std::shared_ptr<Child> &child) {
        return child->hasEnded;
    });
}

awaitable<void> Supervisor::run(std::shared_ptr<Child> child)
{
    Duration backoff = options_.firstBackoff;
    while (!child->context->isStopping()) {
        const Time started = MilliClock::now();
        std::string failure;
        if (co_await runOnce(*child, failure)) {
            break;
        }
        if (MilliClock::now() - started >= options_.stableAfter) {
            backoff = options_.firstBackoff;
        }
        const Duration pause = jittered(backoff);
        ++restarts_;
        logEvent(LogEvent::ChildTaskRestarted, {{"task", child->name}, {"error", failure}, {"backoff_ms", pause}});
        if (!co_await child->context->sleep(pause)) {
            break;
        }
        backoff = std::min(backoff * 2, options_.maxBackoff);
    }
    child->hasEnded = true;
    child->ended.cancel();
}

/// \return whether the task is finished; otherwise \a failure says why it has to be restarted.
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
            co_await child->ended.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
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

/// \brief A pause between half of \a backoff and all of it, so that processes that failed together do not return together.
Duration Supervisor::jittered(Duration backoff)
{
    std::uniform_int_distribution<Duration::rep> distribution(backoff.count() / 2, backoff.count());
    return Duration(distribution(random_));
}

} // namespace mimosatally
