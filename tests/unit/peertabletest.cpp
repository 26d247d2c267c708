#include <catch2/catch.hpp>

#include <mimosatally/Membership>

#include "gateway/peerdatagram.h"

#include <random>

using namespace mimosatally;
using boost::asio::ip::udp;

namespace
{
const RegionId HERE("here");
const RegionId THERE("there");

udp::endpoint address(int number)
{
    return {boost::asio::ip::make_address_v4(0x0a000000U + static_cast<unsigned>(number)), 7000};
}

Time at(int milliseconds)
{
    return Time(Duration(1'000'000 + milliseconds));
}
} // namespace

// Guards against a gateway that knows only the seeds of its settings, some of which are down.
TEST_CASE("Peers that know one seed learn of each other from introductions", "[peers]")
{
    std::vector<PeerTable> tables;
    constexpr int processes = 12;
    for (int i = 1; i <= processes; ++i) {
        tables.emplace_back(address(i), i % 2 == 0 ? HERE : THERE, std::vector<udp::endpoint> {address(1), address(99)});
    }
    for (int round = 0; round < 12; ++round) {
        const Time now = at(round * 500);
        for (int from = 1; from <= processes; ++from) {
            const RegionId region = from % 2 == 0 ? HERE : THERE;
            const std::vector<PeerAddress> introductions = tables.at(from - 1).introductions(4);
            for (const udp::endpoint &target : tables.at(from - 1).heartbeatTargets()) {
                for (int to = 1; to <= processes; ++to) {
                    if (target == address(to)) {
                        tables.at(to - 1).heard({address(from), region}, now);
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
        CHECK(table.near().size() + table.far().size() == processes - 1);
    }
    CHECK(tables.at(1).near().size() == processes / 2 - 1);
}

TEST_CASE("A silent peer is forgotten and a seed is tried for ever", "[peers]")
{
    PeerTable table(address(1), HERE, {address(1), address(2)});
    CHECK(table.heartbeatTargets() == std::vector<udp::endpoint> {address(2)});
    table.heard({address(3), THERE}, at(0));
    CHECK(table.far() == std::vector<udp::endpoint> {address(3)});
    table.introduce({address(4), HERE}, at(0));
    // One that only others know gets a heartbeat, but no notices before it was heard.
    CHECK(table.near().empty());
    CHECK(table.heartbeatTargets().size() == 3);
    table.expire(at(10'000));
    CHECK(table.size() == 0);
    CHECK(table.heartbeatTargets() == std::vector<udp::endpoint> {address(2)});
}

// Guards against memory and datagrams without bound after forged introductions.
TEST_CASE("The number of peers and the rate of heartbeats are bounded", "[peers]")
{
    PeerTable table(address(1), HERE, {});
    for (int i = 2; i < 10'000; ++i) {
        table.introduce({address(i), HERE}, at(0));
        table.heard({address(20'000 + i), HERE}, at(0));
    }
    CHECK(table.size() == PeerTable::MOST_PEERS);
    const double perSecond = static_cast<double>(table.size()) * 1000 / static_cast<double>(table.heartbeatInterval().count());
    CHECK(perSecond <= 100);
}

TEST_CASE("A datagram keeps its content on its way", "[peers]")
{
    internal::PeerDatagram datagram;
    datagram.region = HERE;
    datagram.peers = {{address(5), THERE}};
    PrefillNotice notice;
    notice.endpoint = 77;
    notice.startedAt = 1234;
    notice.prefillMs = 56.5;
    notice.age = Duration(20);
    notice.prefixes = {{11, Tokens(2500)}, {12, Tokens(3800)}};
    datagram.prefillNotices = {notice};
    const internal::PeerDatagram read = internal::decodeDatagram(internal::encodeDatagram(datagram));
    CHECK(read.region == HERE);
    REQUIRE(read.peers.size() == 1);
    CHECK(read.peers[0].address == address(5));
    REQUIRE(read.prefillNotices.size() == 1);
    CHECK(read.prefillNotices[0].endpoint == 77);
    CHECK(read.prefillNotices[0].startedAt == 1234);
    CHECK(read.prefillNotices[0].prefillMs == 56.5);
    CHECK(read.prefillNotices[0].age == Duration(20));
    REQUIRE(read.prefillNotices[0].prefixes.size() == 2);
    CHECK(read.prefillNotices[0].prefixes[1].tokens == Tokens(3800));
}

TEST_CASE("The largest datagram fits into one packet", "[peers]")
{
    internal::PeerDatagram datagram;
    datagram.region = RegionId("a-region-with-a-long-name");
    PrefillNotice notice;
    for (std::size_t part = 0; part < 2 * internal::PARTS_PER_NOTICE; ++part) {
        notice.prefixes.push_back({part, Tokens(1)});
    }
    datagram.prefillNotices.assign(internal::PREFILLS_PER_DATAGRAM, notice);
    CHECK(internal::encodeDatagram(datagram).size() <= internal::MAX_DATAGRAM_BYTES);
}

// Guards against one malformed datagram that ends the process: anyone on the network can send one.
TEST_CASE("Bytes that are no datagram are refused and nothing else happens", "[peers]")
{
    CHECK_THROWS_AS(internal::decodeDatagram(""), MalformedInputError);
    CHECK_THROWS_AS(internal::decodeDatagram("short"), MalformedInputError);
    CHECK_THROWS_AS(internal::decodeDatagram(std::string(1400, '\xff')), MalformedInputError);
    internal::PeerDatagram datagram;
    datagram.region = HERE;
    datagram.peers = {{address(5), THERE}};
    datagram.prefillNotices.resize(3);
    datagram.prefillNotices[0].prefixes = {{1, Tokens(2)}};
    const std::string good = internal::encodeDatagram(datagram);
    std::mt19937 random(11);
    for (int i = 0; i < 20'000; ++i) {
        std::string bad = good;
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int change = 0; change < changes; ++change) {
            bad[random() % bad.size()] = static_cast<char>(random());
        }
        bad.resize(bad.size() - (random() % 3) * 8);
        try {
            const internal::PeerDatagram read = internal::decodeDatagram(bad);
            CHECK(read.prefillNotices.size() <= internal::PREFILLS_PER_DATAGRAM);
        } catch (const MalformedInputError &) {
            continue;
        }
    }
}

TEST_CASE("A notice with absurd times is refused", "[peers]")
{
    for (const double reading : {-1.0, 1e9, std::numeric_limits<double>::quiet_NaN()}) {
        internal::PeerDatagram datagram;
        datagram.prefillNotices.resize(1);
        datagram.prefillNotices[0].prefillMs = reading;
        CHECK_THROWS_AS(internal::decodeDatagram(internal::encodeDatagram(datagram)), MalformedInputError);
    }
}
