#include "gateway/gatewaystate.h"

#include <catch2/catch.hpp>

#include <mimosatally/Http>

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
    gateway.applyConfiguration(configuration);
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
