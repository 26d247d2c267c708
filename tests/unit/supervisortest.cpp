#include <catch2/catch.hpp>

#include <mimosatally/Supervision>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace mimosatally;
using boost::asio::awaitable;

namespace
{
constexpr std::uint64_t SEED = 7;
constexpr Duration LONG_SLEEP = Duration(3600000);

Supervisor::Options quickRestarts()
{
    Supervisor::Options options;
    options.initialBackoff = Duration(2);
    options.maxBackoff = Duration(4);
    return options;
}
} // namespace

TEST_CASE("A failed task is restarted and a finished one is not", "[supervision]")
{
    boost::asio::io_context io;
    Supervisor supervisor(io, SEED, quickRestarts(), [] {
        FAIL("unexpected escalation");
    });
    int starts = 0;
    supervisor.start("flaky", [&starts](TaskContext &) -> awaitable<void> {
        if (++starts < 4) {
            throw Error("not yet");
        }
        co_return;
    });
    io.run();
    CHECK(starts == 4);
    CHECK(supervisor.restarts() == 3);
}

// Guards against a process that continues after a guarantee may have been broken.
TEST_CASE("An invariant violation escalates and is not retried", "[supervision]")
{
    boost::asio::io_context io;
    int escalations = 0;
    Supervisor supervisor(io, SEED, quickRestarts(), [&escalations] {
        ++escalations;
    });
    int starts = 0;
    supervisor.start("broken", [&starts](TaskContext &) -> awaitable<void> {
        ++starts;
        invariant(false, "a test condition");
        co_return;
    });
    io.run();
    CHECK(starts == 1);
    CHECK(escalations == 1);
    CHECK(supervisor.hasEscalated());
}

// Guards against a task that still uses an earlier started task after that task has ended.
TEST_CASE("Tasks are stopped in the reverse order of their start", "[supervision]")
{
    boost::asio::io_context io;
    Supervisor supervisor(io, SEED, quickRestarts(), [] {});
    std::vector<std::string> ended;
    const auto waiter = [&ended](const std::string &name) {
        return [&ended, name](TaskContext &context) -> awaitable<void> {
            bool continues = true;
            while (continues) {
                continues = co_await context.sleep(LONG_SLEEP);
            }
            ended.push_back(name);
        };
    };
    supervisor.start("first", waiter("first"));
    supervisor.start("second", waiter("second"));
    supervisor.start("third", waiter("third"));
    boost::asio::co_spawn(io, supervisor.stop(), boost::asio::detached);
    io.run();
    CHECK(ended == std::vector<std::string> {"third", "second", "first"});
}

TEST_CASE("A wake-up before the sleep is not lost", "[supervision]")
{
    boost::asio::io_context io;
    TaskContext context(io);
    context.wake();
    bool continues = false;
    boost::asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
            continues = co_await context.sleep(LONG_SLEEP);
        },
        boost::asio::detached);
    io.run();
    CHECK(continues);
}
