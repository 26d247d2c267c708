#pragma once

#include "gatewaygroup.h"
#include "resumingcaller.h"

#include <catch2/catch.hpp>

namespace mimosatally::test
{

constexpr int GATEWAYS = 3;
/// \brief Streams that callers run at a time.
constexpr int CONCURRENCY = 12;

/// \brief Starts two engines of each version, with ids like `i-v1-0`.
inline void startPairs(VersionedEngines &engines, const std::vector<std::string> &versions)
{
    for (const std::string &version : versions) {
        engines.start("i-" + version + "-0", version);
        engines.start("i-" + version + "-1", version);
    }
}

/// \brief Address of one gateway for the first attempt, and of another one for the attempts after it.
inline ResumingCaller::AddressOf fromTo(const GatewayGroup &group, int first, int later)
{
    return [&group, first, later](int attempt) {
        return group.callerAddress(static_cast<std::size_t>(attempt == 0 ? first : later) % group.size());
    };
}

inline std::string idOf(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

/// \brief Checks that no stream holds events of two versions and that the events of each are consecutive.
inline void checkVersions(const StreamTotals &totals)
{
    WARN(totals.text());
    CHECK(totals.twoVersions == 0);
    CHECK(totals.notContiguous == 0);
}

/// \brief Checks that of the streams taken up at least \a percent of the share of new streams that begin went on.
inline void checkShareThatWentOn(const StreamTotals &totals, int percent)
{
    REQUIRE(totals.began > 0);
    REQUIRE(totals.takenUp >= 12);
    CHECK(totals.wentOn * totals.streams * 100 >= percent * totals.takenUp * totals.began);
}

constexpr int ALL = 100;
constexpr int NEARLY_ALL = 90;
/// \brief Share that the contract demands.
constexpr int HALF = 50;

} // namespace mimosatally::test
