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

/// \brief Ships the batches of a DecisionChain to stream `audit`: once a period, or as soon as a batch is full.
///
/// An append without an answer is repeated with the same batch id, which readers count once. After a failure the next try
/// waits for a random part of a growing pause, so that processes do not all return to the log at once. The chain itself
/// bounds what is kept during an outage.
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

    /// \brief To be called after each record added to the chain; a full batch is shipped at once.
    void recordAppend();

    /// \brief Ships everything that is left; run() must have ended. \return false if \a limit passed before the log had all.
    boost::asio::awaitable<bool> flush(Duration limit);

    /// \brief Number of appends that failed or were not answered.
    [[nodiscard]] std::uint64_t failures() const;

private:
    boost::asio::awaitable<bool> shipBatch(Duration timeout);
    boost::asio::awaitable<void> shipAll();
    boost::asio::awaitable<void> sleep(Duration length);
    Duration nextPause();

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
