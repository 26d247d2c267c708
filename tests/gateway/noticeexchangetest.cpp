#include "gatewayfixture.h"
#include "peerstandin.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
std::string heartbeat()
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("r");
    return internal::encodeDatagram(datagram);
}

/// \brief Engine that prefills and decodes.
EndpointStandin::Script engine()
{
    return [](const HttpRequest &request) -> AnswerSteps {
        if (headerValue(request, "X-Mimosatally-Serving-Stage") == "prefill") {
            return {bytes(wholeAnswer(requestIdOf(request), R"({"kvHandle":"h","tokens":9000,"version":1})"))};
        }
        return {bytes(streamHead(requestIdOf(request))), bytes(chunk("id: 1\ndata: x\n\n")), bytes(lastChunk())};
    };
}
} // namespace

// Guards against gateways that share engines and see each other's work only late, in the load that engines report, and against a process
// that a malformed datagram from the network terminates.
TEST_CASE("A gateway notifies its peers of the engine of each prompt, and no datagram crashes it", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addEndpoint("i-p", "model", engine(), R"(,"phase":"prefill")");
    fixture.addEndpoint("i-d", "model", engine(), R"(,"phase":"decode")");
    fixture.configure();
    PeerStandin peer("127.0.0.2");
    const std::string port = std::to_string(peer.port());
    fixture.startGateway("notices = \"127.0.0.1:" + port + "\"\npeers = [\"127.0.0.2:1\"]\n");
    fixture.awaitReady();
    // A seed gets heartbeats, but no notices before its first datagram.
    peer.await([](const internal::PeerDatagram &datagram) {
        return datagram.region == RegionId("r") && datagram.prefillNotices.empty();
    });
    for (const std::string &malformed : {std::string(), std::string("x"), std::string(1400, '\xff'), std::string(3000, 'y')}) {
        peer.sendTo("127.0.0.1", malformed);
    }
    peer.sendTo("127.0.0.1", heartbeat());
    fixture.gateway().waitForOutput("PeerDatagramMalformed");
    peer.await([](const internal::PeerDatagram &datagram) {
        return !datagram.peers.empty();
    });
    HttpRequest request = GatewayFixture::request(http::verb::post, "/generate/x", "r1");
    request.set("X-Mimosatally-Token-Counts", "9000,10");
    request.set("X-Mimosatally-Prefix-Hash", "5c1e07a2:6300,e4402b7d:2700");
    CHECK(fixture.call(request).result_int() == 200);
    const internal::PeerDatagram received = peer.await([](const internal::PeerDatagram &datagram) {
        return !datagram.prefillNotices.empty();
    });
    CHECK(received.prefillNotices[0].startedAt == 5);
    CHECK(received.prefillNotices[0].prefillMs > 0);
    REQUIRE(received.prefillNotices[0].prefixes.size() == 2);
    CHECK(received.prefillNotices[0].prefixes[0].tokens == Tokens(6300));
    // The process still serves.
    CHECK(fixture.call(GatewayFixture::request(http::verb::post, "/generate/x", "r2")).result_int() == 200);
}
