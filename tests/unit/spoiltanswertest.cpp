#include "agent/endpointclient.h"
#include "coroutinerunner.h"
#include "entry/answerrelay.h"

#include <catch2/catch.hpp>
#include <platform/engineclient.h>
#include <platform/storeclient.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
/// \brief Server of one connection that writes \a answer once it has the head of the request and then closes the connection.
class SpoilingServer
{
public:
    enum class Close {
        Orderly,
        /// \brief With a reset, while the client is still writing a long request.
        Reset,
    };

    SpoilingServer(std::string answer, Close close)
        : acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this, answer = std::move(answer), close] {
            tcp::socket socket = acceptor_.accept();
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(answer));
            if (close == Close::Reset) {
                // The answer arrives before the reset.
                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            }
        })
    {
    }

    ~SpoilingServer()
    {
        thread_.join();
    }

    SpoilingServer(const SpoilingServer &) = delete;
    SpoilingServer &operator=(const SpoilingServer &) = delete;

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

constexpr Duration TIMEOUT = Duration(5000);
/// \brief More than the buffers of a connection take up.
constexpr std::size_t LONG_UPLOAD_BYTES = std::size_t(32) * 1024 * 1024;
constexpr const char *EARLY_ANSWER = "HTTP/1.1 200 OK\r\n\r\npart of the answer";
const std::vector<std::string> SPOILT_STATUSES = {"000", "0", "099", "600", "999", "2000", "+20", "-20", "   ", ""};

std::string answerWith(const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
}

/// \brief Runs \a call at a client of a server with \a answer. \return what the caller gets: `unreachable`, or the text that the call returns.
template<class Call>
std::string outcomeOf(const std::string &answer, SpoilingServer::Close close, Call call)
{
    SpoilingServer server(answer, close);
    boost::asio::io_context io;
    std::string outcome = "none";
    runCoroutine(io, [&]() -> awaitable<void> {
        try {
            outcome = co_await call(io, server.address());
        } catch (const UnreachableError &) {
            outcome = "unreachable";
        }
    });
    return outcome;
}

awaitable<std::string> dispatchAt(boost::asio::io_context &io, tcp::endpoint address, std::size_t uploadBytes)
{
    EndpointClient client(io, address);
    AgentRequest request(io);
    request.method = "POST";
    request.path = "/";
    request.body = std::string(uploadBytes, 'x');
    std::string text;
    co_await client.dispatch(
        request,
        [&](const HttpResponse &head) -> awaitable<void> {
            text = std::to_string(head.result_int()) + ":";
            co_return;
        },
        [&](std::string_view data) -> awaitable<void> {
            text += data;
            co_return;
        });
    co_return text;
}

awaitable<std::string> sendAt(boost::asio::io_context &io, tcp::endpoint address, std::size_t uploadBytes)
{
    HttpClient client(io, std::move(address));
    const HttpResponse response =
        co_await client.send(makeHttpRequest(boost::beast::http::verb::post, "/", "text/plain", std::string(uploadBytes, 'x')), TIMEOUT);
    co_return std::to_string(response.result_int()) + ":" + response.body();
}
} // namespace

// Guards against a part of an answer that counts as a whole one because the reset of its connection ends the upload and not the answer.
TEST_CASE("An early answer whose connection is reset during the upload is no answer", "[http][spoilt]")
{
    // The client of the store and that of engine reports send with HttpClient::send(), the agent dispatches with HttpClient::stream().
    const auto byReset = SpoilingServer::Close::Reset;
    CHECK(outcomeOf(EARLY_ANSWER,
                    byReset,
                    [](boost::asio::io_context &io, tcp::endpoint address) {
                        return sendAt(io, std::move(address), LONG_UPLOAD_BYTES);
                    })
          == "unreachable");
    CHECK(outcomeOf(EARLY_ANSWER,
                    byReset,
                    [](boost::asio::io_context &io, tcp::endpoint address) {
                        return dispatchAt(io, std::move(address), LONG_UPLOAD_BYTES);
                    })
          == "unreachable");
}

// Guards against an answer whose status is none and that is taken for an answer, and for a refusal where the call may have run.
TEST_CASE("An answer with a status outside 100 to 599 is no answer for agent, store and engine reports", "[http][spoilt]")
{
    const auto orderly = SpoilingServer::Close::Orderly;
    for (const std::string &status : SPOILT_STATUSES) {
        INFO("status \"" << status << '"');
        const std::string answer = answerWith(status);
        CHECK(outcomeOf(answer,
                        orderly,
                        [](boost::asio::io_context &io, tcp::endpoint address) {
                            return dispatchAt(io, std::move(address), 1);
                        })
              == "unreachable");
        CHECK(outcomeOf(answer,
                        orderly,
                        [](boost::asio::io_context &io, tcp::endpoint address) {
                            return sendAt(io, std::move(address), 1);
                        })
              == "unreachable");
        CHECK(outcomeOf(answer,
                        orderly,
                        [](boost::asio::io_context &io, tcp::endpoint address) -> awaitable<std::string> {
                            EndpointClient client(io, address);
                            // g++ 12 destroys the members of a braced argument of a coroutine twice.
                            EndpointOrder order = {"o", "drain", "", Epoch(1)};
                            const EndpointOrderResult result = co_await client.order(std::move(order), TIMEOUT);
                            co_return result == EndpointOrderResult::Unknown ? "unknown" : "refused";
                        })
              == "unknown");
        CHECK(outcomeOf(answer,
                        orderly,
                        [](boost::asio::io_context &io, tcp::endpoint address) -> awaitable<std::string> {
                            EndpointClient client(io, address);
                            const bool alive = co_await client.isAlive();
                            co_return alive ? "alive" : "silent";
                        })
              == "silent");
        CHECK(outcomeOf(answer,
                        orderly,
                        [](boost::asio::io_context &io, tcp::endpoint address) -> awaitable<std::string> {
                            platform::StoreClient client(io, address);
                            co_await client.newest(platform::KeyedTopic::Operators, TIMEOUT);
                            co_return "read";
                        })
              == "unreachable");
        CHECK(outcomeOf(answer,
                        orderly,
                        [](boost::asio::io_context &io, tcp::endpoint address) -> awaitable<std::string> {
                            HttpClient client(io, address);
                            HttpRequest request = platform::reportRequest();
                            const HttpResponse response = co_await client.send(std::move(request), TIMEOUT);
                            const platform::OrderAnswer verdict = platform::decodeOrderAnswer(response);
                            co_return verdict == platform::OrderAnswer::Rejected ? "rejected" : "other";
                        })
              == "unreachable");
    }
}

// Guards against a status of an agent of another version that the entry would pass on to the caller.
TEST_CASE("The entry begins no answer with a status outside 200 to 599", "[entry][spoilt]")
{
    boost::asio::io_context io;
    int rejected = 0;
    HttpServer server(io, parseAddress("127.0.0.1:0"), HttpLimits(), [&](HttpExchange &exchange) -> awaitable<void> {
        AnswerRelay relay(io, exchange, [](HttpResponse &) {});
        const int attempt = relay.startAttempt();
        for (const unsigned status : {0U, 99U, 100U, 199U, 600U, 999U, 65'535U}) {
            try {
                relay.begin(attempt, status, "text/plain");
            } catch (const MalformedInputError &) {
                ++rejected;
            }
        }
        co_await exchange.respond(makeHttpResponse(200, "text/plain", "ok"));
    });
    runCoroutine(io, [&]() -> awaitable<void> {
        HttpClient client(io, server.address());
        co_await client.send(makeHttpRequest(boost::beast::http::verb::get, "/"), TIMEOUT);
    });
    CHECK(rejected == 7);
}
