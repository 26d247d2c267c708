#include <catch2/catch.hpp>

#include <mimosatally/Authority>

using namespace mimosatally;

namespace
{
const LeaseScope SCOPE("role/model/region");
const IncarnationId AGENT("agent-1");
constexpr Duration TTL(3000);
constexpr Duration LIFETIME(1000);

Time at(int milliseconds)
{
    return Time(Duration(milliseconds));
}

std::string acquire(const std::string &id, const std::string &holder)
{
    return toJson(AcquireRecord {RecordId(id), SCOPE, ProcessId(holder), IncarnationId(holder + "-1"), TTL});
}

LeaseHolder holderOf(const std::string &process)
{
    return {SCOPE, ProcessId(process), IncarnationId(process + "-1"), TTL};
}

Order orderOf(const std::string &id, Epoch epoch, const IncarnationId &agent = AGENT, Duration lifetime = LIFETIME)
{
    return {OrderId(id), OrderKind::ChangeRole, "prefill", SCOPE, epoch, agent, lifetime};
}

OrderGate readyGate()
{
    OrderGate gate(AGENT, {SCOPE}, at(0), LIFETIME);
    gate.apply(Offset(0), acquire("a", "entry"));
    CHECK_FALSE(gate.finishReadBack(at(999)));
    REQUIRE(gate.finishReadBack(at(1000)));
    return gate;
}
} // namespace

// Guards against a holder that acts after its ttl, counted from before its append.
TEST_CASE("A holder counts its ttl from before the append", "[authority]")
{
    LeaseHolder holder = holderOf("entry");
    const auto actions = holder.endOfStream(at(0), at(100));
    REQUIRE(actions.size() == 1);
    CHECK(holder.apply(Offset(4), actions.front().payload, at(600)).front().kind == LeaseActionKind::Held);
    CHECK(holder.epoch(at(3099)) == Epoch(4));
    CHECK_FALSE(holder.epoch(at(3100)));
    SECTION("a renewal extends it from before its own append")
    {
        const auto renewals = holder.tick(at(1200));
        REQUIRE(renewals.front().kind == LeaseActionKind::AppendRenew);
        holder.apply(Offset(5), renewals.front().payload, at(1500));
        CHECK(holder.epoch(at(4199)));
        CHECK_FALSE(holder.epoch(at(4200)));
    }
    SECTION("after a pause it reports the loss before anything else")
    {
        const auto late = holder.tick(at(9000));
        REQUIRE(late.size() == 1);
        CHECK(late.front().kind == LeaseActionKind::Lost);
    }
    SECTION("a newer epoch ends it at once")
    {
        CHECK(holder.apply(Offset(5), acquire("b", "other"), at(700)).front().kind == LeaseActionKind::Lost);
        CHECK_FALSE(holder.epoch(at(701)));
    }
}

// Guards against a contender that acquires a lease because it could not read the log for a while.
TEST_CASE("A contender waits a ttl and reads the stream to its end", "[authority]")
{
    LeaseHolder contender = holderOf("contender");
    contender.apply(Offset(0), acquire("a", "entry"), at(500));
    CHECK(contender.endOfStream(at(3499), at(3600)).empty());
    CHECK(contender.endOfStream(at(3500), at(3600)).size() == 1);
    // A lost append is retried after a ttl.
    CHECK(contender.endOfStream(at(4000), at(4100)).empty());
    CHECK(contender.endOfStream(at(6600), at(6700)).size() == 1);
}

// Guards against a renewal that revives an old lease.
TEST_CASE("A renewal of an old epoch has no effect", "[authority]")
{
    LeaseTable table;
    table.apply(Offset(0), acquire("a", "entry"));
    table.apply(Offset(1), acquire("b", "other"));
    CHECK_FALSE(table.apply(Offset(2), toJson(RenewRecord {RecordId("r"), SCOPE, Epoch(0)})));
    CHECK(table.apply(Offset(3), toJson(RenewRecord {RecordId("s"), SCOPE, Epoch(1)})));
    CHECK_FALSE(table.apply(Offset(4), acquire("a", "entry")));
    CHECK_FALSE(table.apply(Offset(5), "no json"));
    CHECK(table.find(SCOPE)->epoch == Epoch(1));
    CHECK(table.find(SCOPE)->lastRecord == Offset(3));
}

// Guards against orders of a previous lease holder, orders for another incarnation, and orders that are expired, too long-lived or repeated.
TEST_CASE("The gate refuses stale, misaddressed and repeated orders", "[authority]")
{
    OrderGate gate = readyGate();
    CHECK(gate.receive(orderOf("o", Epoch(0), IncarnationId("agent-0")), at(1100)) == OrderRefusal::OtherIncarnation);
    CHECK(gate.receive(orderOf("o", Epoch(0), AGENT, Duration(1001)), at(1100)) == OrderRefusal::LifetimeTooLong);
    CHECK_FALSE(gate.receive(orderOf("o", Epoch(0)), at(1100)));
    CHECK(gate.receive(orderOf("o", Epoch(0)), at(1100)) == OrderRefusal::Repeated);
    CHECK(gate.receive(orderOf("p", Epoch(0)), at(1100)) == OrderRefusal::Busy);
    SECTION("the read started before the order was received")
    {
        CHECK(gate.authorize(OrderId("o"), at(1099), at(1200)) == OrderRefusal::AuthorityUnread);
    }
    SECTION("the order has expired by the agent's clock")
    {
        CHECK(gate.authorize(OrderId("o"), at(1100), at(2100)) == OrderRefusal::Expired);
    }
    SECTION("the lease was lost in the meantime")
    {
        gate.apply(Offset(1), acquire("b", "other"));
        CHECK(gate.authorize(OrderId("o"), at(1100), at(1200)) == OrderRefusal::OldEpoch);
        CHECK(gate.receive(orderOf("q", Epoch(0)), at(1300)) == OrderRefusal::OldEpoch);
    }
    SECTION("the stream could not be read")
    {
        CHECK(gate.abandon(OrderId("o")) == OrderRefusal::AuthorityUnread);
    }
    CHECK(gate.state() == OrderGateState::Ready);
    CHECK_FALSE(gate.receive(orderOf("r", gate.highestEpoch(SCOPE)), at(3000)));
}

// Guards against a second order while the first one may still take effect.
TEST_CASE("The gate reads the endpoint back after each order", "[authority]")
{
    OrderGate gate = readyGate();
    REQUIRE_FALSE(gate.receive(orderOf("o", Epoch(0)), at(1100)));
    REQUIRE_FALSE(gate.authorize(OrderId("o"), at(1100), at(1200)));
    CHECK(gate.remainingLifetime(at(1200)) == Duration(900));
    SECTION("an answered write needs a read-back that started after it")
    {
        gate.finishWrite(true, at(1300));
        CHECK(gate.receive(orderOf("p", Epoch(0)), at(1300)) == OrderRefusal::ReadBackPending);
        CHECK_FALSE(gate.finishReadBack(at(1299)));
        CHECK(gate.finishReadBack(at(1300)));
    }
    SECTION("an unanswered write needs one after its lifetime")
    {
        gate.finishWrite(false, at(1300));
        CHECK_FALSE(gate.finishReadBack(at(2099)));
        CHECK(gate.finishReadBack(at(2100)));
    }
    SECTION("a restarted endpoint needs one at once")
    {
        gate.handleEndpointRestart(at(1250));
        gate.finishWrite(false, at(1300));
        CHECK_FALSE(gate.finishReadBack(at(1249)));
        CHECK(gate.finishReadBack(at(1250)));
    }
}

// Guards against an order that is written under the authorization of another one: the endpoint restarts during the read of the stream,
// and the next order is received before that read ends.
TEST_CASE("An order that was superseded during its authorization is refused", "[authority]")
{
    OrderGate gate = readyGate();
    REQUIRE_FALSE(gate.receive(orderOf("o", Epoch(0)), at(1100)));
    gate.handleEndpointRestart(at(1100));
    REQUIRE(gate.finishReadBack(at(1100)));
    REQUIRE_FALSE(gate.receive(orderOf("p", Epoch(0)), at(1100)));
    CHECK(gate.authorize(OrderId("o"), at(1100), at(1200)) == OrderRefusal::ReadBackPending);
    CHECK(gate.abandon(OrderId("o")) == OrderRefusal::ReadBackPending);
    CHECK_FALSE(gate.authorize(OrderId("p"), at(1100), at(1200)));
}
