#include <catch2/catch.hpp>

#include "agent/orderrunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using nlohmann::json;

namespace
{
const LeaseScope SCOPE("model-a/region-1");

/// \brief Endpoint that ignores fencing tokens, and log with stream `authority`; both behind one HTTP server.
struct FakeLogAndEndpoint {
    awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string target(exchange.request().target());
        HttpResponse response = makeHttpResponse(200, "application/json", "{}");
        if (target.starts_with("/topics/authority")) {
            response = readAuthority(target);
        } else if (target == "/load") {
            const json load = {{"order_in_progress", inProgress ? json("o") : json(nullptr)}, {"role", role}};
            response.body() = load.dump();
        } else if (target == "/orders") {
            const json order = json::parse(exchange.request().body());
            orders.push_back(order.at("id").get<std::string>());
            role = order.at("argument").get<std::string>();
            if (crashesOnOrder) {
                exchange.abort();
                co_return;
            }
        }
        co_await exchange.respond(response);
    }

    HttpResponse readAuthority(const std::string &target)
    {
        if (logDown) {
            return makeHttpResponse(503, "application/json", "{}");
        }
        const std::size_t from = std::stoul(target.substr(target.find("offset=") + 7));
        json messages = json::array();
        for (std::size_t i = from; i < authority.size(); ++i) {
            const json message = {{"offset", i}, {"partition", 0}, {"key", nullptr}, {"value", json::parse(authority[i])}};
            messages.push_back(message);
        }
        return makeHttpResponse(200, "application/vnd.kafka.json.v1+json", messages.dump());
    }

    Epoch acquire(const std::string &holder)
    {
        const AcquireRecord record {
            RecordId("record-" + std::to_string(authority.size())), SCOPE, ProcessId(holder), IncarnationId(holder + "-1"), Duration(5000)};
        authority.push_back(toJson(record));
        return Epoch(static_cast<std::int64_t>(authority.size()) - 1);
    }

    std::vector<std::string> authority;
    std::vector<std::string> orders;
    std::string role = "mixed";
    bool logDown = false;
    bool crashesOnOrder = false;
    bool inProgress = false;
};

struct OrderFixture : FakeLogAndEndpoint {
    OrderFixture()
        : server(io,
                 boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
                 HttpLimits(),
                 [this](HttpExchange &exchange) {
                     return handle(exchange);
                 })
        , log(io, server.address())
        , chain(ProcessId("agent-1"), incarnation, Bytes(1 << 20))
        , decisions(chain, [] {})
        , queue(EndpointId("engine-1"), decisions, QueueLimits())
        , endpoint(io, server.address())
        , runner(io, incarnation, Duration(200), log, endpoint, queue, decisions)
        , context(io)
    {
        runner.setScopes({SCOPE});
        boost::asio::co_spawn(io, runner.run(context), [](std::exception_ptr error) {
            CHECK(error == nullptr);
        });
    }

    OrderResult execute(const std::string &id, Epoch epoch)
    {
        Order order;
        order.id = OrderId(id);
        order.kind = OrderKind::ChangeRole;
        order.argument = id;
        order.scope = SCOPE;
        order.epoch = epoch;
        order.agentIncarnation = incarnation;
        order.lifetime = Duration(200);
        std::optional<OrderResult> result;
        boost::asio::co_spawn(io, runner.execute(order), [&result](std::exception_ptr error, OrderResult value) {
            CHECK(error == nullptr);
            result = std::move(value);
        });
        const Time deadline = MilliClock::now() + Duration(20000);
        while (!result && MilliClock::now() < deadline) {
            io.run_one_for(std::chrono::milliseconds(20));
        }
        REQUIRE(result);
        return *result;
    }

    /// \brief Repeats the order until the state of the endpoint has been read back.
    OrderResult executeWhenReady(const std::string &id, Epoch epoch)
    {
        OrderResult result;
        const Time deadline = MilliClock::now() + Duration(20000);
        do {
            result = execute(id, epoch);
            io.run_one_for(std::chrono::milliseconds(5));
        } while (result.reason == "read-back-pending" && MilliClock::now() < deadline);
        return result;
    }

    const IncarnationId incarnation {"incarnation-1"};
    boost::asio::io_context io;
    HttpServer server;
    LogClient log;
    DecisionChain chain;
    AgentDecisions decisions;
    RequestQueue queue;
    EndpointClient endpoint;
    OrderRunner runner;
    TaskContext context;
};
} // namespace

// Guards against orders of a process that has lost its lease, at an endpoint that does not check the fencing token.
TEST_CASE("Only orders of the newest lease reach the endpoint", "[agent]")
{
    OrderFixture fixture;
    const Epoch first = fixture.acquire("entry-1");
    CHECK(fixture.execute("too-early", first).reason == "read-back-pending");
    CHECK(fixture.executeWhenReady("prefill", first).accepted);
    const Epoch second = fixture.acquire("entry-2");
    CHECK(fixture.executeWhenReady("decode", first).reason == "old-epoch");
    CHECK(fixture.executeWhenReady("mixed", second).accepted);
    CHECK(fixture.executeWhenReady("unknown", Epoch(99)).reason == "unknown-epoch");
    CHECK(fixture.orders == std::vector<std::string> {"prefill", "mixed"});
}

// Guards against an order that is sent while it is unknown whether its sender still holds the lease.
TEST_CASE("No order is sent while the log cannot be read", "[agent]")
{
    OrderFixture fixture;
    const Epoch epoch = fixture.acquire("entry-1");
    fixture.logDown = true;
    CHECK(fixture.executeWhenReady("prefill", epoch).reason == "authority-unread");
    CHECK(fixture.orders.empty());
    fixture.logDown = false;
    CHECK(fixture.executeWhenReady("decode", epoch).accepted);
}

// Guards against a second order while the first one may still take effect after a crash of the engine.
TEST_CASE("After an engine crash during a role change, the next order waits for the read-back", "[agent]")
{
    OrderFixture fixture;
    const Epoch epoch = fixture.acquire("entry-1");
    fixture.crashesOnOrder = true;
    CHECK(fixture.executeWhenReady("prefill", epoch).reason == "endpoint-unknown");
    fixture.crashesOnOrder = false;
    fixture.inProgress = true;
    CHECK(fixture.execute("decode", epoch).reason == "read-back-pending");
    CHECK(fixture.orders == std::vector<std::string> {"prefill"});
    fixture.inProgress = false;
    CHECK(fixture.executeWhenReady("mixed", epoch).accepted);
    CHECK(fixture.orders == std::vector<std::string> {"prefill", "mixed"});
}
