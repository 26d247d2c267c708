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
/// A task that fails is restarted with exponential back-off and jitter. A task that throws an InvariantViolation is not
/// restarted: the violation is logged and the escalation handler ends the process. A task that returns is finished. The
/// supervisor must live until the io_context has stopped running.
class Supervisor
{
public:
    struct Options {
        Duration initialBackoff = Duration(100);
        Duration maxBackoff = Duration(10000);
        /// \brief Running time after which a failed task is restarted with the initial back-off.
        Duration stableAfter = Duration(30000);
    };

    using Task = std::function<boost::asio::awaitable<void>(TaskContext &)>;
    using EscalationHandler = std::function<void()>;

    Supervisor(boost::asio::io_context &io, std::uint64_t seed, Options options, EscalationHandler onEscalation);
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /// \brief Starts a task. \param onStop called after TaskContext::stop(), to end waits that do not use the context.
    /// \return the task's context, to wake or stop this task alone.
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
        boost::asio::steady_timer endSignal;
        bool hasEnded = false;
    };

    void removeEnded();
    boost::asio::awaitable<void> run(std::shared_ptr<Child> child);
    boost::asio::awaitable<bool> runOnce(Child &child, std::string &failure);
    Duration withJitter(Duration backoff);

    boost::asio::io_context &io_;
    std::mt19937_64 random_;
    Options options_;
    EscalationHandler onEscalation_;
    std::vector<std::shared_ptr<Child>> children_;
    std::uint64_t restarts_ = 0;
    bool escalated_ = false;
};

} // namespace mimosatally
