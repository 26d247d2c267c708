#include "gatewayfixture.h"
#include "peerstandin.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
const internal::StreamOrigin ORIGIN = {ServiceId("model"), SoftwareVersion("v2")};

EndpointStandin::Script unusedEndpoint()
{
    return [](const HttpRequest &request) -> AnswerSteps {
        return {bytes(wholeAnswer(requestIdOf(request), "{}"))};
    };
}

std::string heartbeat()
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("r");
    datagram.processCount = 1;
    return internal::encodeDatagram(datagram);
}

std::string noticeOn(const RequestId &root, const internal::StreamOrigin &origin)
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("r");
    datagram.streamNotices = {{origin, {root}}};
    return internal::encodeDatagram(datagram);
}

std::string queryFor(const std::vector<RequestId> &roots)
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("r");
    datagram.streamQueries = roots;
    return internal::encodeDatagram(datagram);
}

/// \brief Returns the names of the versions in the notices of a datagram that name no streams.
std::set<std::string> versionsIn(const internal::PeerDatagram &datagram)
{
    std::set<std::string> versions;
    for (const internal::StreamNotice &notice : datagram.streamNotices) {
        if (notice.roots.empty()) {
            versions.insert(notice.origin.version.value());
        }
    }
    return versions;
}

/// \brief One gateway with two stand-ins for others.
struct Exchange {
    explicit Exchange(const std::string &secondVersion)
    {
        fixture.addEndpoint("i-1", "model", unusedEndpoint(), R"(,"phase":"decode")");
        fixture.addEndpoint("i-2", "model", unusedEndpoint(), R"(,"phase":"decode","version":")" + secondVersion + "\"");
        fixture.configure();
        fixture.startGateway("notices = \"127.0.0.1:" + std::to_string(peer.port()) + "\"\npeers = [\"127.0.0.2:1\", \"127.0.0.3:1\"]\n");
        fixture.awaitReady();
        peer.sendTo("127.0.0.1", heartbeat());
        otherPeer.sendTo("127.0.0.1", heartbeat());
    }

    GatewayFixture fixture;
    PeerStandin peer {"127.0.0.2"};
    PeerStandin otherPeer {"127.0.0.3", peer.port()};
};
} // namespace

// Guards against a gateway that does not know of a second version until it reads the store, and joins a stream of it to the only one that it knows.
TEST_CASE("A gateway tells the others which versions a service has while it has several", "[gateway]")
{
    Exchange mixed("v2");
    mixed.peer.await([](const internal::PeerDatagram &datagram) {
        return versionsIn(datagram) == std::set<std::string> {"v1", "v2"};
    });
    mixed.fixture.gateway().waitForOutput("ServiceVersionsMixed");
}

// Guards against datagrams and calls to the store that the usual case of one version does not need.
TEST_CASE("A gateway sends no stream notices while its services have one version each", "[gateway]")
{
    Exchange single("v1");
    CHECK_FALSE(single.peer.receivesWithin(Duration(2000), [](const internal::PeerDatagram &datagram) {
        return !datagram.streamNotices.empty() || !datagram.streamQueries.empty();
    }));
}

// Guards against a stream that a caller continues where nobody has told of it although another gateway knows its origin, and against answers to all gateways.
TEST_CASE("A gateway answers a query to the asking gateway only, also of conflicting origins", "[gateway]")
{
    Exchange exchange("v2");
    const RequestId known("r-known");
    const RequestId conflicting("r-conflicting");
    exchange.peer.sendTo("127.0.0.1", noticeOn(known, ORIGIN));
    exchange.peer.sendTo("127.0.0.1", noticeOn(conflicting, ORIGIN));
    exchange.peer.sendTo("127.0.0.1", noticeOn(conflicting, {ORIGIN.service, SoftwareVersion("v1")}));
    exchange.fixture.gateway().waitForOutput("StreamOriginConflicting");
    exchange.otherPeer.sendTo("127.0.0.1", queryFor({known, conflicting, RequestId("r-unknown")}));
    const auto namesStreams = [](const internal::PeerDatagram &datagram) {
        return std::ranges::any_of(datagram.streamNotices, [](const internal::StreamNotice &notice) {
            return !notice.roots.empty();
        });
    };
    const internal::PeerDatagram answer = exchange.otherPeer.await(namesStreams);
    REQUIRE(answer.streamNotices.size() == 2);
    CHECK(answer.streamNotices[0].origin == ORIGIN);
    CHECK(answer.streamNotices[0].roots == std::vector<RequestId> {known});
    CHECK(answer.streamNotices[1].origin.version.empty());
    CHECK(answer.streamNotices[1].roots == std::vector<RequestId> {conflicting});
    CHECK_FALSE(exchange.peer.receivesWithin(Duration(300), namesStreams));
}
