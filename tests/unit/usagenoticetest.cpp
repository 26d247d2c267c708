#include "gateway/noticeexchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::ip::udp;

namespace
{
constexpr int PEERS = 60;
constexpr int ORGANISATIONS = 1'200;
constexpr const char *SENT = "mimosatally_peer_datagrams_total{result=\"sent\"} ";
constexpr const char *RECEIVED = "mimosatally_peer_datagrams_total{result=\"received\"} ";

udp::endpoint peerAddress(int peer, std::uint16_t port)
{
    return {boost::asio::ip::make_address("127.0.0." + std::to_string(2 + peer)), port};
}

GatewaySettings settingsWith(std::uint16_t port)
{
    GatewaySettings settings;
    settings.process = ProcessId("self");
    settings.dataCentre = DataCentreId("dc");
    settings.regions[settings.dataCentre] = RegionId("r");
    settings.notices = "127.0.0.1:" + std::to_string(port);
    settings.platformApi.reportsUsage = true;
    return settings;
}

long metric(const GatewayState &gateway, const std::string &name)
{
    const std::string page = gateway.metrics.exposition();
    const std::size_t found = page.find(name);
    return found == std::string::npos ? 0 : std::stol(page.substr(found + name.size()));
}

void countRuns(UsageLedger &ledger)
{
    for (std::int64_t i = 0; i < UsageLedger::MAX_WINDOWS; ++i) {
        const UsageWindow window(100 + i);
        ledger.advance(window);
        for (int organisation = 0; organisation < ORGANISATIONS; ++organisation) {
            ledger.count(window, OrganisationId("organisation-" + std::to_string(organisation)));
        }
    }
}
} // namespace

// Guards against an event loop that stands still while thousands of datagrams are sent, each with a system call.
TEST_CASE("Usage notices of many organisations to many gateways are sent in pieces", "[usage]")
{
    boost::asio::io_context io;
    std::vector<udp::socket> peers;
    peers.emplace_back(io, peerAddress(0, 0));
    const std::uint16_t port = peers.front().local_endpoint().port();
    for (int peer = 1; peer < PEERS; ++peer) {
        peers.emplace_back(io, peerAddress(peer, port));
    }
    GatewayState gateway(io, settingsWith(port));
    NoticeExchange exchange(gateway);
    TaskContext context(io);
    boost::asio::co_spawn(io, exchange.receive(context), boost::asio::detached);
    PeerDatagram heartbeat;
    heartbeat.region = RegionId("r");
    const std::string bytes = encodeDatagram(heartbeat);
    for (udp::socket &peer : peers) {
        peer.send_to(boost::asio::buffer(bytes), {boost::asio::ip::address_v4::loopback(), port});
    }
    while (metric(gateway, RECEIVED) < PEERS) {
        REQUIRE(io.run_one_for(std::chrono::seconds(10)) == 1);
    }

    countRuns(gateway.usageLedger);
    boost::asio::co_spawn(io, exchange.sendUsage(context), boost::asio::detached);
    // A datagram has room for at most 90 counts.
    constexpr long due = PEERS * UsageLedger::MAX_WINDOWS * ORGANISATIONS / 90;
    long sent = 0;
    long mostAtOnce = 0;
    while (sent < due) {
        REQUIRE(io.run_one_for(std::chrono::seconds(10)) == 1);
        const long now = metric(gateway, SENT);
        mostAtOnce = std::max(mostAtOnce, now - sent);
        sent = now;
    }
    CHECK(mostAtOnce <= due / 2);
}
