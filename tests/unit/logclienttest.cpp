#include "coroutinerunner.h"
#include "standins/logstore.h"

#include <catch2/catch.hpp>
#include <mimosatally/LogService>

using namespace mimosatally;
using boost::asio::awaitable;
using test::runCoroutine;

namespace
{
constexpr Duration TIMEOUT = Duration(2000);

/// \brief Log service in the test's own process whose records can be lost.
class RestorableLog
{
public:
    explicit RestorableLog(boost::asio::io_context &io)
        : server(io, {boost::asio::ip::make_address("127.0.0.1"), 0}, HttpLimits(), [this](HttpExchange &exchange) {
            return append(exchange);
        })
    {
    }

    void loseRecords()
    {
        store_ = standin::LogStore(0);
    }

    HttpServer server;

private:
    awaitable<void> append(HttpExchange &exchange)
    {
        const standin::LogStore::Json answer = store_.append("claims-1", standin::LogStore::Json::parse(exchange.request().body()));
        co_await exchange.respond(makeHttpResponse(200, "application/json", answer.dump()));
    }

    standin::LogStore store_ = standin::LogStore(0);
};
} // namespace

// Guards against claims that are won twice because the log service gives out an offset again: its contract has no log that goes back.
TEST_CASE("An append that gets an offset which was given out before fails", "[log][restore]")
{
    boost::asio::io_context io;
    RestorableLog log(io);
    LogClient client(io, log.server.address());
    bool failed = false;
    runCoroutine(io, [&]() -> awaitable<void> {
        for (int i = 0; i < 3; ++i) {
            std::vector<std::string> payloads(1, "{}");
            const std::vector<Offset> offsets = co_await client.append("claims-1", std::move(payloads), TIMEOUT);
            CHECK(offsets.front() == Offset(i));
        }
        log.loseRecords();
        try {
            std::vector<std::string> payloads(1, "{}");
            co_await client.append("claims-1", std::move(payloads), TIMEOUT);
        } catch (const UnreachableError &error) {
            failed = std::string(error.what()).find("given out before") != std::string::npos;
        }
    });
    CHECK(failed);
}
