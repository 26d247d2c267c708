#pragma once

#include "taskcontext.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Runs the child tasks of one process.
///
/// A task that fails is restarted after an exponentially growing, jittered pause. An InvariantViolation is not restarted:
/// it is logged and the escalation handler ends the process. A task that returns is finished. The supervisor must outlive
/// the running of the io_context.
class Supervisor
{
public:
    struct Options {
        Duration firstBackoff = Duration(100);
        Duration maxBackoff = Duration(10000);
        /// \brief A task that ran so long before it failed starts again with the first backoff.
        Duration stableAfter = Duration(30000);
    };

    using Task = std::function<boost::asio::awaitable<void>(TaskContext &)>;
    using EscalationHandler = std::function<void()>;

    Supervisor(boost::asio::io_context &io, std::uint64_t seed, Options options, EscalationHandler onEscalation);
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /// \brief Starts a task. \param onStop called when the task has to end, for what TaskContext::stop() does not reach.
    /// \return the task's context, for wake() and to end this task alone.
    std::shared_ptr<TaskContext> start(std::string name, Task task, std::function<void()> onStop = {});

    /// \brief Stops all tasks in the reverse order of their start; each has ended before the next is stopped.
    boost::asio::awaitable<void> stop();

    /// \brief Logs an invariant violation and calls the escalation handler, once.
    void escalate(const InvariantViolation &violation);

    [[nodiscard]] bool hasEscalated() const;

    /// \brief Number of restarts of all tasks so far.
    [[nodiscard]] std::uint64_t restarts() const;

private:
    struct Child {
        Child(boost::asio::io_context &io, std::string childName, Task childTask, std::function<void()> stopHandler);

        std::string name;
        Task task;
        std::function<void()> onStop;
        std::shared_ptr<TaskContext> context;
        boost::asio::steady_timer ended;
        bool hasEnded = false;
    };

    void dropEnded();
    boost::asio::awaitable<void> run(std::shared_ptr<Child> child);
    boost::asio::awaitable<bool> runOnce(Child &child, std::string &failure);
    Duration jittered(Duration backoff);

    boost::asio::io_context &io_;
    std::mt19937_64 random_;
    Options options_;
    EscalationHandler onEscalation_;
    std::vector<std::shared_ptr<Child>> children_;
    std::uint64_t restarts_ = 0;
    bool escalated_ = false;
};

} // namespace mimosatally
