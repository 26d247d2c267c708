#include "gateway/dutyleasestate.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using mimosatally::internal::DutyLeaseState;

namespace
{
constexpr Duration LEASE = Duration(3000);

Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}

/// \brief A member of the group whose renewals take 4 ms.
class Member
{
public:
    explicit Member(bool ordersWait = false)
        : lease({LEASE, ordersWait})
    {
    }

    void renew(std::int64_t generation, bool holds, int sent, std::int64_t storeEra = 0)
    {
        era.observe(StoreEra(storeEra), at(sent + 4));
        lease.recordGrant({generation, StoreEra(storeEra), holds}, at(sent), at(sent + 4));
    }

    /// \brief Renews each second while the holder is the same.
    void hold(std::int64_t generation, int from, int until, std::int64_t storeEra = 0)
    {
        for (int sent = from; sent <= until; sent += 1000) {
            renew(generation, true, sent, storeEra);
        }
    }

    [[nodiscard]] bool coversDuties(int now) const
    {
        return lease.coversDuties(era, at(now));
    }

    [[nodiscard]] bool coversOrders(int now) const
    {
        return lease.coversOrders(era, at(now));
    }

    DutyLeaseState lease;
    StoreEraTracker era;
};
} // namespace

// Guards against calls of two holders: the earlier one learns of the change only at its next renewal.
TEST_CASE("A new holder orders at once and calls the platform after one lease", "[gateway][duties]")
{
    Member member;
    member.hold(7, 1000, 4000);
    CHECK(member.coversOrders(1010));
    // The renewal at 4000 was sent before a lease had passed since the first answer, at 1004.
    CHECK_FALSE(member.coversDuties(4900));
    REQUIRE(member.lease.waitsUntil() == at(4004));
    member.renew(7, true, 4004);
    CHECK(member.coversDuties(4010));
    CHECK_FALSE(member.coversDuties(4004 + 2500));
    CHECK(member.lease.token() == 7);
}

// Guards against interruptions of the duties whenever another gateway starts or stops, and against a token that is not the store's.
TEST_CASE("The holder keeps the lease over later generations unless it ends", "[gateway][duties]")
{
    Member member;
    member.hold(7, 1000, 5000);
    member.renew(8, true, 6000);
    CHECK(member.coversDuties(6010));
    CHECK(member.lease.token() == 8);
    member.renew(9, false, 7000);
    CHECK_FALSE(member.coversDuties(7010));
    member.hold(10, 8000, 10'000);
    CHECK_FALSE(member.coversDuties(10'010));
    member.hold(10, 11'000, 12'000);
    CHECK(member.coversDuties(12'010));
    // Without a renewal for 2.5 s, another process may have been the holder meanwhile.
    member.renew(10, true, 14'600);
    CHECK_FALSE(member.coversDuties(14'610));
    CHECK(member.lease.acquired() == at(14'604));
}

// Guards against a new holder that counts a time in which the lease was given to others.
TEST_CASE("A wait begins again when the generation changes during it", "[gateway][duties]")
{
    Member member;
    member.hold(7, 1000, 3000);
    member.hold(9, 4000, 6000);
    CHECK_FALSE(member.coversDuties(6010));
    member.hold(9, 7000, 8000);
    CHECK(member.coversDuties(8010));
}

// Guards against tokens that are lower than earlier ones: generations are given out again after a restore.
TEST_CASE("Tokens rise with the era, and lower ones are not used", "[gateway][duties]")
{
    Member member;
    member.hold(7, 1000, 5000);
    member.hold(3, 6000, 9000, 1);
    CHECK_FALSE(member.coversDuties(9003));
    member.renew(3, true, 9010, 1);
    CHECK(member.coversDuties(9020));
    CHECK(member.lease.token() == (1LL << 32) + 3);
    // The same era with fewer generations: the store has lost records without saying so.
    member.hold(2, 10'000, 15'000, 1);
    CHECK_FALSE(member.coversDuties(15'010));
}

// Guards against further calls with a rejected token, and against a holder that keeps the lease without being able to use it.
TEST_CASE("After a rejection the token is not used and the lease is left to end", "[gateway][duties]")
{
    Member member;
    member.hold(7, 1000, 5000);
    REQUIRE(member.coversDuties(5010));
    member.lease.recordDutyRejection(7, at(5020));
    CHECK_FALSE(member.coversDuties(5021));
    CHECK_FALSE(member.coversOrders(5021));
    CHECK_FALSE(member.lease.mayRenew(at(8500)));
    CHECK(member.lease.mayRenew(at(8520)));
    member.hold(8, 9000, 13'000);
    CHECK(member.coversDuties(13'010));
}

// Guards against orders of two holders where the engines do not check the tokens.
TEST_CASE("Orders wait like other duties where tokens are not checked", "[gateway][duties]")
{
    Member member(true);
    member.hold(7, 1000, 4000);
    CHECK_FALSE(member.coversOrders(4010));
    member.renew(7, true, 4500);
    CHECK(member.coversOrders(4510));
}
