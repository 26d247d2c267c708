#include "connectionpool.h"

#include <algorithm>

namespace mimosatally::internal
{

using boost::asio::ip::tcp;

namespace
{
/// \brief Idle timeout for endpoints that state none.
constexpr Duration DEFAULT_IDLE_TIMEOUT = Duration(4000);
/// \brief Time before the idle timeout of the endpoint at which a connection is dropped, so that no call is sent while the endpoint closes it.
constexpr Duration IDLE_TIMEOUT_MARGIN = Duration(1000);
constexpr std::size_t MAX_IDLE_PER_ENDPOINT = 48;

/// \brief Returns whether the peer has neither closed the connection nor sent data that belongs to no call.
bool isUsable(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block;
}
} // namespace

EndpointConnection::EndpointConnection(boost::asio::io_context &io, tcp::endpoint peer)
    : socket(io)
    , address(std::move(peer))
{
}

ConnectionPool::ConnectionPool(boost::asio::io_context &io)
    : io_(io)
{
}

std::unique_ptr<EndpointConnection> ConnectionPool::take(const tcp::endpoint &address, const RequestId &request, Time now)
{
    const auto idle = idle_.find(address);
    std::unique_ptr<EndpointConnection> connection = idle == idle_.end() ? nullptr : takeIdle(idle->second, request, now);
    if (connection) {
        connection->reused = true;
    } else {
        connection = make(address);
    }
    connection->sent.add(request);
    return connection;
}

std::unique_ptr<EndpointConnection> ConnectionPool::takeIdle(IdleConnections &idle, const RequestId &request, Time now)
{
    for (std::size_t index = idle.size(); index > 0; --index) {
        const auto place = idle.begin() + static_cast<IdleConnections::difference_type>(index - 1);
        if ((*place)->sent.contains(request)) {
            continue;
        }
        std::unique_ptr<EndpointConnection> connection = std::move(*place);
        idle.erase(place);
        if (now < connection->expiresAt && isUsable(connection->socket)) {
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<EndpointConnection> ConnectionPool::make(const tcp::endpoint &address)
{
    auto connection = std::make_unique<EndpointConnection>(io_, address);
    connection->number = ++lastNumber_;
    connection->madeAt = MilliClock::now();
    return connection;
}

void ConnectionPool::put(std::unique_ptr<EndpointConnection> connection, std::optional<Duration> keepAlive, Time now)
{
    const Duration idleTimeout = keepAlive.value_or(DEFAULT_IDLE_TIMEOUT) - IDLE_TIMEOUT_MARGIN;
    const auto limit = idleLimits_.find(connection->address);
    const std::size_t maxIdle = limit == idleLimits_.end() ? MAX_IDLE_PER_ENDPOINT : std::min(limit->second, MAX_IDLE_PER_ENDPOINT);
    auto &idle = idle_[connection->address];
    if (idleTimeout <= Duration(0) || idle.size() >= maxIdle || connection->sent.isFull()) {
        return;
    }
    connection->expiresAt = now + idleTimeout;
    connection->buffer.onGrown({});
    connection->buffer.clear();
    connection->buffer.trim();
    idle.push_back(std::move(connection));
}

void ConnectionPool::setIdleLimits(std::map<tcp::endpoint, std::size_t> limits)
{
    idleLimits_ = std::move(limits);
}

void ConnectionPool::closeExpired(Time now)
{
    for (auto &[address, idle] : idle_) {
        std::erase_if(idle, [now](const auto &connection) {
            return now >= connection->expiresAt;
        });
    }
    std::erase_if(idle_, [](const auto &entry) {
        return entry.second.empty();
    });
}

void ConnectionPool::closeAll(const tcp::endpoint &address)
{
    idle_.erase(address);
}

std::size_t ConnectionPool::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[address, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

} // namespace mimosatally::internal
