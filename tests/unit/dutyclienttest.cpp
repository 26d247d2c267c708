#include "coroutinerunner.h"

#include <catch2/catch.hpp>
#include <mimosatally/Http>
#include <platform/dutyclient.h>
#include <platform/storeclient.h>

using namespace mimosatally;
using boost::asio::awaitable;
using test::runCoroutine;

namespace
{
/// \brief Server that gives one answer and keeps the last request.
class Responder
{
public:
    explicit Responder(boost::asio::io_context &io)
        : server(io, parseAddress("127.0.0.1:0"), HttpLimits(), [this](HttpExchange &exchange) {
            return answer(exchange);
        })
    {
    }

    awaitable<void> answer(HttpExchange &exchange)
    {
        ++requests;
        last = exchange.request();
        HttpResponse response = makeHttpResponse(status, "application/json", body);
        co_await exchange.respond(std::move(response));
    }

    HttpServer server;
    unsigned status = 200;
    std::string body = "{}";
    HttpRequest last;
    int requests = 0;
};

platform::AppendAnswer appendTo(Responder &responder, boost::asio::io_context &io, const std::optional<platform::KeyedRecord> &record)
{
    platform::StoreClient client(io, responder.server.address());
    const platform::AppendPosition position {"usage", 7, 3};
    platform::AppendAnswer answer;
    io.restart();
    runCoroutine(io, [&]() -> awaitable<void> {
        answer = co_await client.append(platform::KeyedTopic::Usage, position, record, Duration(2000));
    });
    return answer;
}
} // namespace

// Guards against appends that the store cannot read, and against a rejection or an error that is taken for a written record.
TEST_CASE("Appends carry their position, and their answers are told apart", "[platform][duties]")
{
    boost::asio::io_context io;
    Responder responder(io);
    platform::KeyedRecord record;
    record.key = "reports";
    record.value = "{}";
    CHECK(appendTo(responder, io, record).outcome == platform::AppendOutcome::Written);
    CHECK(std::string(responder.last.target()) == "/-/log-append?topic=keyed.usage&part=0&producer=usage&epoch=7&seqNum=3");
    CHECK(responder.last.body() == std::string("\0\0\0\x0a\x07reports{}", 14));
    CHECK(appendTo(responder, io, std::nullopt).outcome == platform::AppendOutcome::Written);
    CHECK(responder.last.body().empty());

    responder.status = 409;
    responder.body = R"({"why":"fenced"})";
    CHECK(appendTo(responder, io, record).outcome == platform::AppendOutcome::Fenced);
    responder.body = R"({"why":"seq","expected":5})";
    const platform::AppendAnswer answer = appendTo(responder, io, record);
    CHECK(answer.outcome == platform::AppendOutcome::OutOfSequence);
    CHECK(answer.expected == 5);
    for (const char *body : {"", "[]", "{}", R"({"why":"other"})", R"({"why":3})"}) {
        responder.body = body;
        CHECK_THROWS_AS(appendTo(responder, io, record), MalformedInputError);
    }
    for (const unsigned status : {503U, 507U, 404U}) {
        responder.status = status;
        CHECK_THROWS_AS(appendTo(responder, io, record), UnreachableError);
    }
}

// Guards against calls that are written after the lease has ended, and against an answer that is taken for another one.
TEST_CASE("Calls to the platform name their authority and are not written without it", "[platform][duties]")
{
    boost::asio::io_context io;
    Responder responder(io);
    platform::DutyClient client(io, responder.server.address(), 1000);
    const platform::DutyAuthority authority {ProcessId("p"), (1LL << 32) + 5};
    const platform::ScaleOrder order {ServiceId("huvo11a"), DataCentreId("sask-a"), 6};
    platform::DutyAnswer answer = platform::DutyAnswer::Accepted;
    const auto send = [&](bool allowed) {
        io.restart();
        runCoroutine(io, [&]() -> awaitable<void> {
            platform::DutyClient::Guard guard = [allowed] {
                return allowed;
            };
            answer = co_await client.orderScale(order, authority, std::move(guard));
        });
        return answer;
    };
    CHECK(send(false) == platform::DutyAnswer::NotSent);
    CHECK(responder.requests == 0);
    CHECK(send(true) == platform::DutyAnswer::Accepted);
    CHECK(std::string(responder.last.target()) == "/scale");
    CHECK(responder.last.body() == R"({"desired":6,"service":"huvo11a","zone":"sask-a"})");
    CHECK(headerValue(responder.last, "X-Mimosatally-Lease-Holder") == "p");
    CHECK(headerValue(responder.last, "X-Mimosatally-Fencing-Token") == "4294967301");
    const std::map<unsigned, platform::DutyAnswer> answers = {{409, platform::DutyAnswer::Fenced},
                                                              {429, platform::DutyAnswer::Busy},
                                                              {500, platform::DutyAnswer::Busy},
                                                              {503, platform::DutyAnswer::Busy},
                                                              {400, platform::DutyAnswer::Rejected},
                                                              {302, platform::DutyAnswer::Rejected}};
    for (const auto &[status, expected] : answers) {
        responder.status = status;
        CHECK(send(true) == expected);
    }
}
