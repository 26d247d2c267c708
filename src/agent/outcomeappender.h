#pragma once

#include <mimosatally/Claims>
#include <mimosatally/LogService>
#include <mimosatally/Supervision>

#include <deque>
#include <random>

namespace mimosatally::internal
{

/// \brief Appends outcome records of claimed calls to their claims stream, and keeps trying until the log has them.
class OutcomeAppender
{
public:
    OutcomeAppender(boost::asio::io_context &io, LogClient &log, std::uint64_t seed);

    /// \brief Appends a record. \return whether the log confirmed it within \a limit; otherwise it is tried again by run().
    boost::asio::awaitable<bool> append(int partition, OutcomeRecord record, Duration limit);

    /// \brief Task of the supervisor: retries what is pending.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Tries what is pending until \a limit; run() must have ended. \return the number of records the log does not have.
    boost::asio::awaitable<std::size_t> flush(Duration limit);

    [[nodiscard]] std::size_t pending() const;

private:
    struct Pending {
        std::string stream;
        std::string payload;
    };

    boost::asio::awaitable<bool> tryAppend(const Pending &record, Duration timeout);
    boost::asio::awaitable<bool> retryFirst();
    void keep(Pending record);

    boost::asio::io_context &io_;
    LogClient &log_;
    std::mt19937_64 random_;
    std::deque<Pending> pending_;
    std::size_t pendingBytes_ = 0;
};

} // namespace mimosatally::internal
