#include <catch2/catch.hpp>

#include <mimosatally/LogService>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

using namespace mimosatally;
using boost::asio::awaitable;
using nlohmann::json;

namespace
{
/// \brief Log service that fails its first appends, some of them after they took effect.
struct FaultyLog {
    awaitable<void> handle(HttpExchange &exchange)
    {
        const json body = json::parse(exchange.request().body());
        ++appends;
        const bool fails = appends <= failures;
        if (!fails || appends % 2 == 0) {
            for (const json &record : body.at("records")) {
                payloads.push_back(record.at("value").dump());
            }
        }
        if (fails) {
            co_await exchange.respond(makeHttpResponse(503, "application/json", "{}"));
            co_return;
        }
        const json offset = {{"partition", 0}, {"offset", payloads.size() - 1}};
        const json answer = {{"offsets", json::array({offset})}};
        co_await exchange.respond(makeHttpResponse(200, "application/vnd.kafka.v1+json", answer.dump()));
    }

    int failures = 0;
    int appends = 0;
    std::vector<std::string> payloads;
};

struct ShipperFixture {
    explicit ShipperFixture(int failures)
        : server(io,
                 boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
                 HttpLimits(),
                 [this](HttpExchange &exchange) {
                     return faults.handle(exchange);
                 })
        , log(io, server.address())
        , chain(ProcessId("agent-1"), IncarnationId("incarnation-1"), Bytes(1 << 20))
        , shipper(io, chain, log, 1, options())
    {
        faults.failures = failures;
        chain.start("agent", ConfigurationVersion(0), MilliClock::now());
    }

    static AuditShipper::Options options()
    {
        AuditShipper::Options result;
        result.period = Duration(5);
        result.maxBackoff = Duration(20);
        result.batchSize = Bytes(2048);
        result.appendTimeout = Duration(1000);
        return result;
    }

    void appendDecisions(int count)
    {
        for (int i = 0; i < count; ++i) {
            chain.append({DecisionKind::CallerRejected,
                          RequestId("r" + std::to_string(i)),
                          {},
                          ConfigurationVersion(0),
                          MilliClock::now(),
                          toJson(CallerRejectedInputs {"unknown-key"})});
            shipper.recordAppend();
        }
    }

    AuditReport verify() const
    {
        AuditVerifier verifier;
        for (std::size_t i = 0; i < faults.payloads.size(); ++i) {
            verifier.add(Offset(static_cast<std::int64_t>(i)), faults.payloads[i]);
        }
        return verifier.verify();
    }

    boost::asio::io_context io;
    FaultyLog faults;
    HttpServer server;
    LogClient log;
    DecisionChain chain;
    AuditShipper shipper;
};
} // namespace

// Guards against decisions that are lost or counted twice because an append's answer was lost.
TEST_CASE("Records are shipped once and in order through failed and unanswered appends", "[platform]")
{
    ShipperFixture fixture(5);
    boost::asio::co_spawn(fixture.io, fixture.shipper.run(), [](std::exception_ptr error) {
        CHECK(error == nullptr);
    });
    fixture.appendDecisions(100);
    const Time deadline = MilliClock::now() + Duration(20000);
    while (fixture.chain.bufferedBytes() > Bytes(0) && MilliClock::now() < deadline) {
        fixture.io.run_one_for(std::chrono::milliseconds(20));
    }
    const AuditReport report = fixture.verify();
    CHECK(report.records == 101);
    CHECK(report.chains == 1);
    CHECK(report.findings.empty());
    CHECK(fixture.shipper.failures() == 5);
}

// Guards against a graceful shutdown that never ends while the log is down.
TEST_CASE("The flush at shutdown ends at its timeout and reports whether all records were shipped", "[platform]")
{
    ShipperFixture down(1000000);
    down.appendDecisions(3);
    ShipperFixture up(0);
    up.appendDecisions(100);
    up.chain.close(ConfigurationVersion(0), MilliClock::now());
    std::optional<bool> downShipped;
    std::optional<bool> upShipped;
    boost::asio::co_spawn(down.io, down.shipper.flush(Duration(300)), [&](std::exception_ptr, bool shipped) {
        downShipped = shipped;
        down.io.stop();
    });
    boost::asio::co_spawn(up.io, up.shipper.flush(Duration(20000)), [&](std::exception_ptr, bool shipped) {
        upShipped = shipped;
        up.io.stop();
    });
    down.io.run();
    up.io.run();
    CHECK(downShipped == false);
    CHECK(upShipped == true);
    CHECK(up.verify().findings.empty());
    CHECK(up.verify().openEnds.empty());
}
