#include <catch2/catch.hpp>

#include <mimosatally/Core>

#include <memory>

using namespace mimosatally;

// Guards against a limit that stops the reader that happens to reach it in place of the one that holds the most.
TEST_CASE("The reader that holds the most is stopped when the limit is exceeded", "[bytebudget]")
{
    ByteBudget budget(100);
    std::string stopped;
    ByteReservation small(budget, [&] {
        stopped += "small ";
    });
    ByteReservation large(budget, [&] {
        stopped += "large ";
    });
    small.hold(20);
    large.hold(80);
    CHECK(stopped.empty());
    small.hold(21);
    CHECK(stopped == "large ");
    CHECK(large.isRevoked());
    CHECK_FALSE(small.isRevoked());
    CHECK(budget.heldBytes() == 21);
    CHECK(budget.peakBytes() == 101);
    CHECK(budget.revocations() == 1);
    SECTION("what the stopped one still holds does not stop others")
    {
        large.hold(200);
        small.hold(90);
        CHECK(stopped == "large ");
    }
    SECTION("the only one left is stopped itself")
    {
        small.hold(101);
        CHECK(stopped == "large small ");
        CHECK(budget.heldBytes() == 0);
    }
}

// Guards against answers that are ready and are thrown away, and against bytes that are not counted because their reader cannot be stopped.
TEST_CASE("A reader that cannot be stopped counts, and another one is stopped", "[bytebudget]")
{
    ByteBudget budget(100);
    int stops = 0;
    ByteReservation ready(budget, [] {
        FAIL("a reader that cannot be stopped was stopped");
    });
    ready.hold(90);
    ready.setRevocable(false);
    ByteReservation reading(budget, [&stops] {
        ++stops;
    });
    reading.hold(20);
    CHECK(stops == 1);
    CHECK(budget.heldBytes() == 90);
}

// Guards against bytes of readers that have ended and count for good.
TEST_CASE("The bytes of a reader that has ended are free again", "[bytebudget]")
{
    ByteBudget budget(100);
    for (int i = 0; i < 10; ++i) {
        const auto reader = std::make_unique<ByteReservation>(budget, [] {
            FAIL("nothing exceeds the limit");
        });
        reader->hold(60);
        reader->hold(30);
        reader->hold(100);
    }
    CHECK(budget.heldBytes() == 0);
    CHECK(budget.peakBytes() == 100);
}
