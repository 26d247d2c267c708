#include "takeupchecks.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int CALLERS = 16;
constexpr int STREAMS = 1200;
constexpr int EVENT_PAUSE_MS = 20;

/// \brief Sum of a metric over all gateways and over all of its label values that contain \a label.
double sumOver(const GatewayGroup &group, const std::string &name, const std::string &label)
{
    double sum = 0;
    for (std::size_t i = 0; i < group.size(); ++i) {
        std::istringstream lines(get(group.metricsAddress(i), "/metrics").body());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name) && line.find(label) != std::string::npos) {
                sum += std::stod(line.substr(line.rfind(' ') + 1));
            }
        }
    }
    return sum;
}

/// \brief Values of `after_ms` of all lookups of streams in the logs of the gateways, in ascending order.
std::vector<int> lookupTimes(GatewayGroup &group)
{
    std::vector<int> times;
    for (std::size_t i = 0; i < group.size(); ++i) {
        std::istringstream lines(group.gateway(i).output());
        for (std::string line; std::getline(lines, line);) {
            const std::string field = "after_ms=";
            const std::size_t position = line.find(field);
            if (line.find("StreamOriginLookedUp") != std::string::npos && position != std::string::npos) {
                times.push_back(std::stoi(line.substr(position + field.size())));
            }
        }
    }
    std::ranges::sort(times);
    return times;
}

int percentile(const std::vector<int> &sorted, std::size_t percent)
{
    return sorted.empty() ? -1 : sorted[std::min(sorted.size() * percent / 100, sorted.size() - 1)];
}

struct Traffic {
    double datagrams = 0;
    double bytes = 0;
    std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now();

    explicit Traffic(const GatewayGroup &group)
        : datagrams(sumOver(group, "mimosatally_peer_datagrams_total", "result=\"sent\""))
        , bytes(sumOver(group, "mimosatally_peer_datagram_bytes_total", ""))
    {
    }
};

std::string ratesBetween(const Traffic &before, const Traffic &after)
{
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    std::ostringstream text;
    text << (after.datagrams - before.datagrams) / seconds << " datagrams/s, " << (after.bytes - before.bytes) / seconds << " bytes/s over " << seconds << " s";
    return text.str();
}
} // namespace

// Guards against take-ups that fail, or exchanges between gateways that grow too large, with as many gateways as deployments have. Prints figures; run by hand.
TEST_CASE("With two versions and many gateways streams go on at other gateways", "[.size]")
{
    const int count = GENERATE(3, 25, 68);
    const std::vector<std::string> versions = GENERATE(std::vector<std::string> {"v1"}, std::vector<std::string> {"v1", "v2"});
    GatewayFixture fixture;
    VersionedEngines engines(fixture);
    engines.configure();
    startPairs(engines, versions);
    GatewayGroup group(fixture, count);
    group.awaitPeers();
    const Traffic idle(group);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const Traffic before(group);
    const StreamTotals totals = totalsOf(runCallers(STREAMS, CALLERS, [&](int number) {
        ResumingCaller caller(idOf("s", number), [&group, number](int attempt) {
            return group.callerAddress(static_cast<std::size_t>(number + 7 * attempt) % group.size());
        });
        return caller.pause(EVENT_PAUSE_MS).breaks(StreamBreak::CallerConnection, 3).run();
    }));
    const Traffic after(group);
    const std::vector<int> times = lookupTimes(group);
    WARN(count << " gateways, " << versions.size() << " versions");
    WARN("idle: " << ratesBetween(idle, before));
    WARN("with streams: " << ratesBetween(before, after));
    WARN("lookups: " << times.size() << ", median " << percentile(times, 50) << " ms, 95 % " << percentile(times, 95) << " ms, longest "
                     << percentile(times, 100) << " ms");
    checkVersions(totals);
    checkShareThatWentOn(totals, NEARLY_ALL);
}
