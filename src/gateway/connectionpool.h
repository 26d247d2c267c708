#pragma once

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
    /// \brief Requests that were sent over it, or that it was taken for.
    std::size_t requests = 0;
};

/// \brief Idle connections to endpoints, by address.
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &io);

    /// \brief Returns an idle connection without unread data, or a new one that is not connected yet.
    std::unique_ptr<EndpointConnection> take(const boost::asio::ip::tcp::endpoint &address, Time now);

    /// \brief Returns a new connection that is not connected yet.
    std::unique_ptr<EndpointConnection> make(const boost::asio::ip::tcp::endpoint &address);

    /// \brief Keeps a connection whose last answer is complete. \param keepAlive idle timeout that the endpoint stated, if any.
    void put(std::unique_ptr<EndpointConnection> connection, std::optional<Duration> keepAlive, Time now);

    /// \brief Sets how many idle connections to each address are kept; a connection above the limit is closed when its call ends.
    void setIdleLimits(std::map<boost::asio::ip::tcp::endpoint, std::size_t> limits);

    /// \brief Closes connections whose idle timeout has passed.
    void closeExpired(Time now);

    /// \brief Closes the idle connections to an address whose endpoint was removed.
    void closeAll(const boost::asio::ip::tcp::endpoint &address);

    [[nodiscard]] std::size_t idleConnections() const;

private:
    boost::asio::io_context &io_;
    std::uint64_t lastNumber_ = 0;
    std::map<boost::asio::ip::tcp::endpoint, std::deque<std::unique_ptr<EndpointConnection>>> idle_;
    std::map<boost::asio::ip::tcp::endpoint, std::size_t> idleLimits_;
};

} // namespace mimosatally::internal
