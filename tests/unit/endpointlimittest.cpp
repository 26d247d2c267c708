#include "routing/endpointlimit.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;

namespace
{
Time at(int milliseconds)
{
    return Time(Duration(1'000'000 + milliseconds));
}

EndpointAnswer naming(int perSecond)
{
    EndpointAnswer answer;
    answer.requestLimit = RequestRate(perSecond * 1000);
    return answer;
}
} // namespace

// Guards against a limit that ends because an answer from before it arrives late on another connection.
TEST_CASE("An answer without a limit ends it only if its request was sent after the limit was named", "[limit]")
{
    EndpointLimit limit;
    CHECK(limit.recordAnswer(EndpointAnswer(), at(0), 0, at(5)) == LimitChange::None);
    CHECK(limit.recordAnswer(naming(20), at(0), 0, at(10)) == LimitChange::Named);
    CHECK(limit.recordAnswer(EndpointAnswer(), at(5), 0, at(20)) == LimitChange::None);
    CHECK(limit.rate() == RequestRate(20'000));
    CHECK(limit.recordAnswer(naming(10), at(12), 0, at(30)) == LimitChange::Changed);
    CHECK(limit.recordAnswer(EndpointAnswer(), at(31), 0, at(40)) == LimitChange::Ended);
    CHECK_FALSE(limit.rate());
}

// Guards against a limit that is lost because one answer names it in a form that cannot be read.
TEST_CASE("An unreadable limit leaves the last one in force", "[limit]")
{
    EndpointLimit limit;
    limit.recordAnswer(naming(20), at(0), 0, at(10));
    EndpointAnswer unreadable;
    unreadable.requestLimitUnreadable = true;
    CHECK(limit.recordAnswer(unreadable, at(20), 0, at(30)) == LimitChange::None);
    CHECK(limit.rate() == RequestRate(20'000));
}

TEST_CASE("Sends are counted over the last four seconds", "[limit]")
{
    RecentSends sends;
    for (int ms = 0; ms < 10'000; ms += 100) {
        sends.add(at(ms));
    }
    const int counted = sends.count(at(9'900));
    CHECK(counted > 34);
    CHECK(counted <= 40);
    CHECK(sends.count(at(14'500)) == 0);
}

// Guards against a process that sends without bound until the endpoint has told it, and against news of a peer that outlive the limit.
TEST_CASE("A limit known from a peer holds until the news are old or an answer shows that it has ended", "[limit]")
{
    EndpointLimit limit;
    LimitNotice notice;
    notice.limit = RequestRate(20'000);
    notice.age = Duration(100);
    limit.recordNotice(1, notice, 0, at(1000));
    CHECK(limit.rate() == RequestRate(20'000));
    CHECK(limit.isFromPeer());
    limit.update(2, 0, at(3900));
    CHECK(limit.rate());
    limit.update(2, 0, at(4000));
    CHECK_FALSE(limit.rate());

    limit.recordNotice(1, notice, 0, at(5000));
    CHECK(limit.recordAnswer(EndpointAnswer(), at(5010), 0, at(5040)) == LimitChange::Ended);
    // The peer has last heard of the limit before the answer that ended it.
    limit.recordNotice(1, notice, 0, at(5100));
    CHECK_FALSE(limit.rate());
    notice.age = Duration(20);
    limit.recordNotice(1, notice, 0, at(5200));
    CHECK(limit.rate());
    limit.recordAnswer(naming(10), at(5210), 0, at(5230));
    CHECK_FALSE(limit.isFromPeer());
    limit.recordNotice(1, notice, 0, at(5300));
    CHECK(limit.rate() == RequestRate(10'000));
}
