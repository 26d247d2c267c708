#include "agent/endpointclient.h"
#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <map>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
/// \brief Endpoint that writes each answer once more, late: when the next request arrives on its connection, before the answer to that one.
class RepeatingEndpoint
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    RepeatingEndpoint(boost::asio::io_context &io, Handler handler)
        : io_(io)
        , acceptor_(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , handler_(std::move(handler))
    {
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
            boost::asio::co_spawn(io_, serve(std::move(socket)), boost::asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        std::vector<HttpResponse> answers;
        while (!error) {
            HttpRequest request;
            co_await boost::beast::http::async_read(socket, buffer, request, redirect_error(use_awaitable, error));
            if (error) {
                co_return;
            }
            answers.push_back(handler_(request));
            answers.back().prepare_payload();
            for (const HttpResponse &answer : answers) {
                co_await boost::beast::http::async_write(socket, answer, redirect_error(use_awaitable, error));
            }
            answers.erase(answers.begin(), answers.end() - 1);
        }
    }

    boost::asio::io_context &io_;
    tcp::acceptor acceptor_;
    Handler handler_;
};

HttpResponse json(unsigned status, const std::string &body)
{
    return makeHttpResponse(status, "application/json", body);
}

constexpr Duration TIMEOUT = Duration(20'000);
} // namespace

// Guards against an order that its engine has refused and that counts as done, because the late copy of a load report was taken for its answer.
TEST_CASE("The late copy of a load report is not taken for the answer to an order", "[agent][answers]")
{
    boost::asio::io_context io;
    RepeatingEndpoint endpoint(io, [](const HttpRequest &request) {
        return request.target() == "/load" ? json(200, "{}") : json(409, "{}");
    });
    EndpointClient client(io, endpoint.address());
    runCoroutine(io, [&]() -> awaitable<void> {
        const EndpointReport report = co_await client.report(TIMEOUT);
        CHECK(report.healthy);
        EndpointOrder order;
        order.id = "o-1";
        const EndpointOrderResult result = co_await client.order(std::move(order), TIMEOUT);
        CHECK(result == EndpointOrderResult::Refused);
    });
}

// Guards against a second order to an engine that still carries out the first: the late copy of that one's answer was taken for a report without an order.
TEST_CASE("The late copy of the answer to an order is not taken for a load report", "[agent][answers]")
{
    boost::asio::io_context io;
    RepeatingEndpoint endpoint(io, [](const HttpRequest &request) {
        return request.target() == "/load" ? json(200, R"({"order_in_progress":"o-1"})") : json(200, "{}");
    });
    EndpointClient client(io, endpoint.address());
    runCoroutine(io, [&]() -> awaitable<void> {
        EndpointOrder order;
        order.id = "o-1";
        const EndpointOrderResult result = co_await client.order(std::move(order), TIMEOUT);
        CHECK(result == EndpointOrderResult::Done);
        const EndpointReport report = co_await client.report(TIMEOUT);
        CHECK(report.orderInProgress);
        co_await client.cancel(RequestId("r"));
        const EndpointReport afterCancel = co_await client.report(TIMEOUT);
        CHECK(afterCancel.orderInProgress);
    });
}

// Guards against a caller that gets the answer of another caller's request, and against a request that counts as not run because the late copy of a refusal
// was taken for its answer.
TEST_CASE("The late copy of an answer is not delivered for the next request", "[agent][answers]")
{
    boost::asio::io_context io;
    RepeatingEndpoint endpoint(io, [](const HttpRequest &request) {
        const std::string id = headerValue(request, "X-Request-Id");
        return json(id == "refused" ? 503 : 200, id);
    });
    EndpointClient client(io, endpoint.address());
    std::map<std::string, unsigned> statuses;
    std::map<std::string, std::string> answers;
    runCoroutine(io, [&]() -> awaitable<void> {
        for (const char *id : {"first", "second", "refused", "third"}) {
            AgentRequest request(io);
            request.id = RequestId(id);
            request.method = "POST";
            request.path = "/run";
            co_await client.dispatch(
                request,
                [&](const HttpResponse &head) -> awaitable<void> {
                    statuses[id] = head.result_int();
                    co_return;
                },
                [&](std::string_view data) -> awaitable<void> {
                    answers[id] += data;
                    co_return;
                });
        }
    });
    CHECK(answers.size() == 4);
    for (const auto &[id, answer] : answers) {
        CHECK(answer == id);
    }
    CHECK(statuses["refused"] == 503);
    CHECK(statuses["third"] == 200);
}
