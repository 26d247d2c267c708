#include "gateway/gatewaystate.h"

#include <catch2/catch.hpp>

#include <mimosatally/Http>

#include <set>

using namespace mimosatally;
using namespace mimosatally::internal;

// Guards against gateways whose idle connections together use up all that an endpoint accepts, so that it resets every new one.
TEST_CASE("A gateway keeps its part of the connections that an endpoint accepts from all gateways", "[connections]")
{
    boost::asio::io_context io;
    GatewayState gateway(io, GatewaySettings());
    const auto address = parseAddress("127.0.0.1:9");
    const ServiceId service("plain");
    EndpointRecord record;
    record.id = EndpointId("e");
    record.service = service;
    record.address = address;
    gateway.registry.apply(record.id, StorePosition {StoreEra(0), Offset(1)}, record, MilliClock::now());
    ServingConfiguration configuration;
    configuration.version = 1;
    configuration.services[service] = {service, 40, std::nullopt};
    gateway.applyConfiguration(prepareConfiguration(std::make_shared<const ServingConfiguration>(configuration)));
    const auto fillPool = [&] {
        gateway.connections.closeAll(address);
        for (int i = 0; i < 60; ++i) {
            gateway.connections.put(std::make_unique<EndpointConnection>(io, address), Duration(5000), MilliClock::now());
        }
        return gateway.connections.idleConnections();
    };
    for (const int gateways : {1, 2, 5, 30}) {
        gateway.setProcessCount(gateways, MilliClock::now());
        CHECK(fillPool() * static_cast<std::size_t>(gateways) <= 40);
    }
    // An endpoint that accepts fewer connections than there are gateways keeps one with each of them.
    gateway.setProcessCount(100, MilliClock::now());
    CHECK(fillPool() == 1);
}

namespace
{
/// \brief Pool with connections to a listening socket.
class PoolFixture
{
public:
    /// \brief Takes a connection for \a request, connects it if it is new, and keeps it again. \return its number.
    std::uint64_t use(const std::string &request)
    {
        std::unique_ptr<EndpointConnection> connection = pool_.take(acceptor_.local_endpoint(), RequestId(request), MilliClock::now());
        if (!connection->reused) {
            connection->socket.connect(connection->address);
            accepted_.push_back(acceptor_.accept());
        }
        const std::uint64_t number = connection->number;
        pool_.put(std::move(connection), Duration(60'000), MilliClock::now());
        return number;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return accepted_.size();
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_ {io_, parseAddress("127.0.0.1:0")};
    std::vector<boost::asio::ip::tcp::socket> accepted_;
    ConnectionPool pool_ {io_};
};
} // namespace

// Guards against an answer that can belong to two requests with one id over one connection: an endpoint may write the first answer again at any time.
TEST_CASE("A connection carries each request id once", "[connections]")
{
    PoolFixture pool;
    std::set<std::pair<std::uint64_t, int>> carried;
    for (int step = 0; step < 2000; ++step) {
        const int id = step * 7 % 200;
        CHECK(carried.emplace(pool.use("r" + std::to_string(id)), id).second);
    }
    // Each of the 200 ids was sent ten times, so ten connections are needed and no more.
    CHECK(pool.connections() == 10);
}

// Guards against a connection for each request: only a repeated id or the bound on the requests of a connection costs a new one.
TEST_CASE("Requests with ids of their own share a connection up to its bound", "[connections]")
{
    PoolFixture pool;
    for (std::size_t i = 0; i < SentRequests::MAX_REQUESTS; ++i) {
        pool.use("r" + std::to_string(i));
    }
    CHECK(pool.connections() == 1);
    pool.use("next");
    CHECK(pool.connections() == 2);
}
