#pragma once

#include "logclient.h"

#include <mimosatally/Audit>
#include <mimosatally/Core>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <random>

namespace mimosatally
{

/// \brief Ships the batches of a DecisionChain to stream `audit`: once per period, or as soon as a batch is full.
///
/// An append without an answer is retried with the same batch id, so that readers count the batch once. Failed appends are
/// retried with exponential back-off and jitter, so that processes do not all return to the log at once. The chain limits
/// the number of bytes kept during an outage.
class AuditShipper
{
public:
    struct Options {
        Duration period = Duration(1000);
        Bytes batchSize = Bytes(64LL * 1024);
        Duration appendTimeout = Duration(2000);
        Duration maxBackoff = Duration(10000);
    };

    AuditShipper(boost::asio::io_context &io, DecisionChain &chain, LogClient &log, std::uint64_t seed, Options options);
    AuditShipper(boost::asio::io_context &io, DecisionChain &chain, LogClient &log, std::uint64_t seed);

    /// \brief Ships until stop().
    boost::asio::awaitable<void> run();

    /// \brief Ends run() at its next wait.
    void stop();

    /// \brief Must be called after each record that is added to the chain; a full batch is shipped at once.
    void recordAppend();

    /// \brief Ships all remaining records; run() must have ended. \return false if some were not shipped within \a timeout.
    boost::asio::awaitable<bool> flush(Duration timeout);

    /// \brief Number of appends that failed or were not answered.
    [[nodiscard]] std::uint64_t failures() const;

private:
    boost::asio::awaitable<bool> shipBatch(Duration timeout);
    boost::asio::awaitable<void> shipAll();
    boost::asio::awaitable<void> sleep(Duration duration);
    Duration nextDelay();

    DecisionChain &chain_;
    LogClient &log_;
    Options options_;
    std::mt19937_64 random_;
    boost::asio::steady_timer timer_;
    Duration backoff_ = Duration(0);
    std::uint64_t failures_ = 0;
    bool stopping_ = false;
};

} // namespace mimosatally
