#pragma once

#include "connectionpool.h"

#include <mimosatally/Routing>
#include <mimosatally/Serving>

#include <platform/engineclient.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace mimosatally::internal
{

/// \brief Process that has sent an answer.
struct AnsweringProcess {
    EndpointId endpoint;
    boost::asio::ip::tcp::endpoint address;
    /// \brief Start of the process as registered when the request was sent; 0 if it is not known.
    std::int64_t startedAt = 0;
};

/// \brief What a probe shows about a process.
enum class Liveness {
    /// \brief It has answered a request that was sent after the probe began.
    Alive,
    /// \brief Another process answers at its address, or the endpoint has started again.
    Replaced,
    /// \brief Connections to its address are refused.
    Ended,
    /// \brief No answer was received in time.
    Silent,
    /// \brief No request was sent, since the endpoint accepts none at present or the call has ended.
    NotAsked,
};

/// \brief Name for log fields.
[[nodiscard]] std::string_view proofName(Liveness liveness);

/// \brief Finds out whether the process that has sent an answer is still there.
///
/// The operating system accepts connections for a process until its listening socket is closed, so only an answer counts. It must belong to a request
/// that was sent after the probe began. Probes of one address that begin before such a request is sent share it.
class LivenessProbe
{
public:
    /// \brief Longest time of one request with its repeats.
    static constexpr Duration MAX_REQUEST_TIME = Duration(1000);
    /// \brief Time before the first repeat of a request without an answer; it doubles with each one. An endpoint resets a new connection if it has too
    /// many, and so does the end of its process.
    static constexpr Duration FIRST_REPEAT_INTERVAL = Duration(25);

    LivenessProbe(boost::asio::io_context &io, ConnectionPool &connections, PhaseRouter &router, Metrics &metrics);

    /// \brief Takes at most twice MAX_REQUEST_TIME, and ends at \a deadline.
    boost::asio::awaitable<Liveness> probe(AnsweringProcess process, Time deadline);

private:
    /// \brief Result of a request to an address.
    struct Reply {
        /// \brief Alive if there is an answer.
        Liveness liveness = Liveness::Silent;
        /// \brief Start that the process states.
        std::optional<std::int64_t> startedAt;
    };

    /// \brief One request and the probes that share it.
    struct Round {
        bool ended = false;
        Reply reply;
        std::vector<boost::asio::steady_timer *> waiting;
    };

    /// \brief Requests to one endpoint at one address, one at a time.
    struct Target {
        /// \brief Round whose request has not been sent yet; null if no probe waits for one.
        std::shared_ptr<Round> next;
        bool running = false;
    };
    using TargetKey = std::pair<boost::asio::ip::tcp::endpoint, EndpointId>;

    /// \param statedStart start that the process at the address states.
    [[nodiscard]] bool hasRestarted(const AnsweringProcess &process, std::optional<std::int64_t> statedStart) const;
    boost::asio::awaitable<void> runRounds(AnsweringProcess process);
    boost::asio::awaitable<Reply> ask(const AnsweringProcess &process);
    boost::asio::awaitable<Reply> askOnce(const AnsweringProcess &process, Time end);
    boost::asio::awaitable<Reply> exchange(std::unique_ptr<EndpointConnection> connection, const AnsweringProcess &process);

    boost::asio::io_context &io_;
    ConnectionPool &connections_;
    PhaseRouter &router_;
    Metrics &metrics_;
    std::map<TargetKey, Target> targets_;
};

} // namespace mimosatally::internal
