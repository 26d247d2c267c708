#pragma once

#include "sentrequests.h"

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace mimosatally::internal
{

/// \brief Largest head of an answer, in bytes.
constexpr std::size_t MAX_ANSWER_HEADER_BYTES = std::size_t(64) * 1024;
/// \brief Largest head, length of a chunk with its extension, or trailer that is received before it is complete, in bytes.
constexpr std::size_t MAX_ANSWER_FRAMING_BYTES = MAX_ANSWER_HEADER_BYTES + std::size_t(8) * 1024;

/// \brief One connection to an endpoint; serves one call at a time.
struct EndpointConnection {
    EndpointConnection(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint peer);

    boost::asio::ip::tcp::socket socket;
    boost::asio::ip::tcp::endpoint address;
    ReceiveBuffer buffer {MAX_ANSWER_FRAMING_BYTES};
    /// \brief Time from which an idle connection is not reused.
    Time expiresAt;
    bool reused = false;
    /// \brief Identifies the connection in the log of this process.
    std::uint64_t number = 0;
    /// \brief Time from which on the peer can have accepted the connection.
    Time madeAt;
    SentRequests sent;
};

/// \brief Idle connections to endpoints, by address.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &io);

    /// \brief Returns a connection for \a request: an idle one without unread data that has not carried a request with this id, or a new one that is not
    /// connected yet. No connection carries an id twice, so an answer with that id cannot belong to an earlier attempt.
    std::unique_ptr<EndpointConnection> take(const boost::asio::ip::tcp::endpoint &address, const RequestId &request, Time now);

    /// \brief Returns a new connection that is not connected yet.
    std::unique_ptr<EndpointConnection> make(const boost::asio::ip::tcp::endpoint &address);

    /// \brief Keeps a connection whose last answer is complete, unless it has carried too many requests. \param keepAlive idle timeout that the endpoint
    /// stated, if any.
    void put(std::unique_ptr<EndpointConnection> connection, std::optional<Duration> keepAlive, Time now);

    /// \brief Sets how many idle connections to each address are kept; a connection above the limit is closed when its call ends.
    void setIdleLimits(std::map<boost::asio::ip::tcp::endpoint, std::size_t> limits);

    /// \brief Closes connections whose idle timeout has passed.
    void closeExpired(Time now);

    /// \brief Closes the idle connections to an address whose endpoint was removed.
    void closeAll(const boost::asio::ip::tcp::endpoint &address);

    [[nodiscard]] std::size_t idleConnections() const;

private:
    using IdleConnections = std::deque<std::unique_ptr<EndpointConnection>>;

    /// \brief Removes and returns the connection of \a idle that was used last among those that can carry \a request; null if there is none. Closes those that
    /// are not usable any more.
    static std::unique_ptr<EndpointConnection> takeIdle(IdleConnections &idle, const RequestId &request, Time now);

    boost::asio::io_context &io_;
    std::uint64_t lastNumber_ = 0;
    std::map<boost::asio::ip::tcp::endpoint, IdleConnections> idle_;
    std::map<boost::asio::ip::tcp::endpoint, std::size_t> idleLimits_;
};

} // namespace mimosatally::internal
