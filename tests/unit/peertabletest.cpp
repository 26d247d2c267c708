#include <catch2/catch.hpp>

#include <mimosatally/Membership>

#include "gateway/peerdatagram.h"

#include <random>

using namespace mimosatally;
using boost::asio::ip::udp;

namespace
{
const RegionId OWN_REGION("here");
const RegionId OTHER_REGION("there");

udp::endpoint address(int number)
{
    return {boost::asio::ip::make_address_v4(0x0a000000U + static_cast<unsigned>(number)), 7000};
}

Time at(int milliseconds)
{
    return Time(Duration(1'000'000 + milliseconds));
}
} // namespace

// Guards against a gateway that knows no peers but the configured seeds, some of which are down.
TEST_CASE("Peers that share one seed discover each other through introductions", "[peers]")
{
    std::vector<PeerTable> tables;
    constexpr int processes = 12;
    for (int i = 1; i <= processes; ++i) {
        tables.emplace_back(address(i), i % 2 == 0 ? OWN_REGION : OTHER_REGION, std::vector<udp::endpoint> {address(1), address(99)});
    }
    for (int round = 0; round < 12; ++round) {
        const Time now = at(round * 500);
        for (int from = 1; from <= processes; ++from) {
            const RegionId region = from % 2 == 0 ? OWN_REGION : OTHER_REGION;
            const std::vector<PeerAddress> introductions = tables.at(from - 1).introductions(4);
            for (const udp::endpoint &target : tables.at(from - 1).heartbeatTargets()) {
                for (int to = 1; to <= processes; ++to) {
                    if (target == address(to)) {
                        tables.at(to - 1).recordDatagram({address(from), region}, now);
                        for (const PeerAddress &peer : introductions) {
                            tables.at(to - 1).introduce(peer, now);
                        }
                    }
                }
            }
            tables.at(from - 1).expire(now);
        }
    }
    for (const PeerTable &table : tables) {
        CHECK(table.sameRegionPeers().size() + table.otherRegionPeers().size() == processes - 1);
    }
    CHECK(tables.at(1).sameRegionPeers().size() == processes / 2 - 1);
}

TEST_CASE("An unresponsive peer is removed and a seed is contacted indefinitely", "[peers]")
{
    PeerTable table(address(1), OWN_REGION, {address(1), address(2)});
    CHECK(table.heartbeatTargets() == std::vector<udp::endpoint> {address(2)});
    table.recordDatagram({address(3), OTHER_REGION}, at(0));
    CHECK(table.otherRegionPeers() == std::vector<udp::endpoint> {address(3)});
    table.introduce({address(4), OWN_REGION}, at(0));
    // A peer that was only introduced gets heartbeats, but no notices until it has sent a datagram.
    CHECK(table.sameRegionPeers().empty());
    CHECK(table.heartbeatTargets().size() == 3);
    table.expire(at(10'000));
    CHECK(table.size() == 0);
    CHECK(table.heartbeatTargets() == std::vector<udp::endpoint> {address(2)});
}

// Guards against a process that does not notice that it was cut off, against one that takes a lost datagram for a cut, and against signs of a return
// from processes that are cut off together with it.
TEST_CASE("A datagram that ends a silence of most peers is told from others", "[peers]")
{
    PeerTable table(address(1), OWN_REGION, {address(2)});
    const auto receive = [&table](int number, int milliseconds) {
        return table.recordDatagram({address(number), OWN_REGION}, at(milliseconds));
    };
    for (const int number : {2, 3, 4}) {
        CHECK_FALSE(receive(number, 0));
        CHECK_FALSE(receive(number, 1000));
    }
    CHECK_FALSE(receive(2, 1900));
    CHECK_FALSE(receive(2, 2800));
    CHECK(receive(3, 3500) == Duration(2500));
    CHECK_FALSE(receive(4, 3500));
    SECTION("also after the silent ones were removed")
    {
        for (int milliseconds = 3600; milliseconds <= 6000; milliseconds += 800) {
            CHECK_FALSE(receive(2, milliseconds));
        }
        table.expire(at(6100));
        CHECK(receive(4, 6500) == Duration(3000));
    }
}

// Guards against unbounded memory and datagrams after forged introductions.
TEST_CASE("The number of peers and the rate of heartbeats are bounded", "[peers]")
{
    PeerTable table(address(1), OWN_REGION, {});
    for (int i = 2; i < 10'000; ++i) {
        table.introduce({address(i), OWN_REGION}, at(0));
        table.recordDatagram({address(20'000 + i), OWN_REGION}, at(0));
    }
    CHECK(table.size() == PeerTable::MAX_PEERS);
    const double perSecond = static_cast<double>(table.size()) * 1000 / static_cast<double>(table.heartbeatInterval().count());
    CHECK(perSecond <= 100);
}

TEST_CASE("A datagram keeps its content when encoded and decoded", "[peers]")
{
    internal::PeerDatagram datagram;
    datagram.region = OWN_REGION;
    datagram.peers = {{address(5), OTHER_REGION}};
    PrefillNotice notice;
    notice.endpoint = 77;
    notice.startedAt = 1234;
    notice.prefillMs = 56.5;
    notice.age = Duration(20);
    notice.prefixes = {{11, Tokens(2500)}, {12, Tokens(3800)}};
    datagram.prefillNotices = {notice};
    datagram.processCount = 68;
    datagram.limitNotices = {{78, 1235, RequestRate(18'300), Duration(30), RequestRate(2500)}};
    const internal::PeerDatagram decoded = internal::decodeDatagram(internal::encodeDatagram(datagram));
    CHECK(decoded.region == OWN_REGION);
    REQUIRE(decoded.peers.size() == 1);
    CHECK(decoded.peers[0].address == address(5));
    REQUIRE(decoded.prefillNotices.size() == 1);
    CHECK(decoded.prefillNotices[0].endpoint == 77);
    CHECK(decoded.prefillNotices[0].startedAt == 1234);
    CHECK(decoded.prefillNotices[0].prefillMs == 56.5);
    CHECK(decoded.prefillNotices[0].age == Duration(20));
    REQUIRE(decoded.prefillNotices[0].prefixes.size() == 2);
    CHECK(decoded.prefillNotices[0].prefixes[1].tokens == Tokens(3800));
    CHECK(decoded.processCount == 68);
    REQUIRE(decoded.limitNotices.size() == 1);
    CHECK(decoded.limitNotices[0].endpoint == 78);
    CHECK(decoded.limitNotices[0].startedAt == 1235);
    CHECK(decoded.limitNotices[0].limit == RequestRate(18'300));
    CHECK(decoded.limitNotices[0].age == Duration(30));
    CHECK(decoded.limitNotices[0].unused == RequestRate(2500));
}

TEST_CASE("The largest datagram fits into one packet", "[peers]")
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("a-region-with-a-long-name");
    PrefillNotice notice;
    for (std::size_t part = 0; part < 2 * internal::MAX_PARTS_PER_NOTICE; ++part) {
        notice.prefixes.push_back({part, Tokens(1)});
    }
    datagram.prefillNotices.assign(internal::MAX_NOTICES_PER_DATAGRAM, notice);
    CHECK(internal::encodeDatagram(datagram).size() <= internal::MAX_DATAGRAM_BYTES);
    internal::PeerDatagram heartbeat;
    heartbeat.region = datagram.region;
    heartbeat.peers.assign(internal::MAX_PEERS_PER_DATAGRAM, {address(255), datagram.region});
    heartbeat.limitNotices.resize(internal::MAX_LIMIT_NOTICES_PER_DATAGRAM);
    CHECK(internal::encodeDatagram(heartbeat).size() <= internal::MAX_DATAGRAM_BYTES);
}

// Guards against a malformed datagram that terminates the process: any host on the network can send one.
TEST_CASE("Malformed datagrams are rejected with MalformedInputError only", "[peers]")
{
    CHECK_THROWS_AS(internal::decodeDatagram(""), MalformedInputError);
    CHECK_THROWS_AS(internal::decodeDatagram("short"), MalformedInputError);
    CHECK_THROWS_AS(internal::decodeDatagram(std::string(1400, '\xff')), MalformedInputError);
    internal::PeerDatagram datagram;
    datagram.region = OWN_REGION;
    datagram.peers = {{address(5), OTHER_REGION}};
    datagram.prefillNotices.resize(3);
    datagram.prefillNotices[0].prefixes = {{1, Tokens(2)}};
    datagram.limitNotices.resize(3);
    const std::string valid = internal::encodeDatagram(datagram);
    std::mt19937 generator(11);
    for (int i = 0; i < 20'000; ++i) {
        std::string corrupted = valid;
        const int changes = 1 + static_cast<int>(generator() % 4);
        for (int change = 0; change < changes; ++change) {
            corrupted[generator() % corrupted.size()] = static_cast<char>(generator());
        }
        corrupted.resize(corrupted.size() - (generator() % 3) * 8);
        try {
            const internal::PeerDatagram decoded = internal::decodeDatagram(corrupted);
            CHECK(decoded.prefillNotices.size() <= internal::MAX_NOTICES_PER_DATAGRAM);
            CHECK(decoded.limitNotices.size() <= internal::MAX_LIMIT_NOTICES_PER_DATAGRAM);
        } catch (const MalformedInputError &) {
            continue;
        }
    }
}

TEST_CASE("A notice with an out-of-range time is rejected", "[peers]")
{
    for (const double prefillMs : {-1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
        internal::PeerDatagram datagram;
        datagram.prefillNotices.resize(1);
        datagram.prefillNotices[0].prefillMs = prefillMs;
        CHECK_THROWS_AS(internal::decodeDatagram(internal::encodeDatagram(datagram)), MalformedInputError);
    }
}

// Guards against a process that takes the part of peers from which it is cut off, while they still send to the same endpoint.
TEST_CASE("A silent peer counts among the processes for half a minute, and a restarted one once", "[peers]")
{
    PeerTable table(address(1), OWN_REGION, {address(2)});
    CHECK(table.processCount(at(0)) == 2);
    table.recordDatagram({address(2), OWN_REGION}, at(0));
    table.recordDatagram({address(3), OWN_REGION}, at(0));
    CHECK(table.processCount(at(100)) == 3);
    table.recordDatagram({address(2), OWN_REGION}, at(4000));
    table.expire(at(4000));
    CHECK(table.size() == 1);
    CHECK(table.processCount(at(4000)) == 3);
    table.recordDatagram({address(3), OWN_REGION}, at(5000));
    CHECK(table.processCount(at(5000)) == 3);
    table.recordDatagram({address(2), OWN_REGION}, at(40'000));
    table.expire(at(40'000));
    CHECK(table.processCount(at(40'000)) == 2);
}

// Guards against a process that takes too large a part of a limit in its first seconds, before it has met all others.
TEST_CASE("A process that has just started counts the processes that its first peer knows", "[peers]")
{
    PeerTable table(address(1), OWN_REGION, {address(2)});
    table.recordDatagram({address(2), OWN_REGION}, at(0));
    table.recordProcessCount(address(2), 68);
    CHECK(table.processCount(at(0)) == 68);
    CHECK(table.ownProcessCount(at(0)) == 2);
    table.recordProcessCount(address(9), 500);
    CHECK(table.processCount(at(0)) == 68);
    table.recordProcessCount(address(2), 1'000'000);
    CHECK(table.processCount(at(0)) <= static_cast<int>(PeerTable::MAX_PEERS) + 1);
}

// Guards against notices on suspected parts that arrive with other content, or that are too long for one packet and therefore lost every time.
TEST_CASE("Notices on suspected parts keep their content and fit into one packet", "[peers][crash]")
{
    SuspectNotice notice;
    notice.suspect = ~std::uint64_t(0);
    notice.state = SuspectNotice::State::Blocked;
    for (std::size_t i = 0; i < CrashSuspects::MAX_CRASHES_PER_SUSPECT; ++i) {
        notice.crashes.push_back(~std::uint64_t(i));
    }
    notice.probes = 3;
    notice.sinceProbe = std::chrono::minutes(3);
    internal::PeerDatagram datagram;
    datagram.region = RegionId(std::string(64, 'r'));
    datagram.suspectNotices.assign(internal::MAX_SUSPECT_NOTICES_PER_DATAGRAM, notice);
    const std::string bytes = internal::encodeDatagram(datagram);
    CHECK(bytes.size() <= internal::MAX_DATAGRAM_BYTES);
    WARN("the largest datagram with notices on parts has " << bytes.size() << " bytes");
    const internal::PeerDatagram decoded = internal::decodeDatagram(bytes);
    REQUIRE(decoded.suspectNotices.size() == internal::MAX_SUSPECT_NOTICES_PER_DATAGRAM);
    CHECK(decoded.suspectNotices[7].suspect == notice.suspect);
    CHECK(decoded.suspectNotices[7].state == notice.state);
    CHECK(decoded.suspectNotices[7].crashes == notice.crashes);
    CHECK(decoded.suspectNotices[7].probes == notice.probes);
    CHECK(decoded.suspectNotices[7].sinceProbe == notice.sinceProbe);
    datagram.suspectNotices.push_back(notice);
    CHECK_THROWS_AS(internal::decodeDatagram(internal::encodeDatagram(datagram)), MalformedInputError);
}
