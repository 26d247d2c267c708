#pragma once

#include <mimosatally/Claims>
#include <mimosatally/LogService>
#include <mimosatally/Supervision>

#include <deque>
#include <random>

namespace mimosatally::internal
{

/// \brief Appends outcome records of claimed calls to their claims stream, and retries until the log has confirmed them.
class OutcomeAppender
{
public:
    OutcomeAppender(boost::asio::io_context &io, LogClient &log, std::uint64_t seed);

    /// \brief Appends a record. \return true if the log confirmed it within \a timeout; otherwise run() retries it.
    boost::asio::awaitable<bool> append(int partition, OutcomeRecord record, Duration timeout);

    /// \brief Supervised task that retries pending records.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Retries pending records until \a timeout; run() must have ended. \return the number of records that are still pending.
    boost::asio::awaitable<std::size_t> flush(Duration timeout);

    [[nodiscard]] std::size_t pending() const;

private:
    struct Pending {
        std::string stream;
        std::string payload;
    };

    boost::asio::awaitable<bool> tryAppend(const Pending &record, Duration timeout);
    boost::asio::awaitable<bool> retryFirst();
    void addPending(Pending record);

    boost::asio::io_context &io_;
    LogClient &log_;
    std::mt19937_64 random_;
    std::deque<Pending> pending_;
    std::size_t pendingBytes_ = 0;
};

} // namespace mimosatally::internal
