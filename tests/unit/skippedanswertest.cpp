#include "gateway/endpointcall.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace
{
constexpr std::size_t KILOBYTE = 1024;
constexpr std::size_t MEGABYTE = KILOBYTE * KILOBYTE;
/// \brief docs/input-bounds.md: reads of an answer to another request.
constexpr std::size_t SKIPPED_READS = 4096;
/// \brief Longer than any run of these tests, which count reads and bytes and no time.
constexpr Duration CALL_TIME = Duration(100'000);

std::string headFor(const std::string &requestId, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + requestId + "\r\nX-Mimosatally-Response-Seal: s\r\n" + framing + "\r\n\r\n";
}

std::string repeated(const std::string &unit, std::size_t count)
{
    std::string text;
    text.reserve(unit.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        text += unit;
    }
    return text;
}

/// \brief A call to an endpoint whose connection the test serves itself.
class ServedCall
{
public:
    ServedCall()
        : acceptor_(serverIo_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , pool_(io_)
        , budget_(64 * MEGABYTE)
        , guard_(std::make_shared<CallGuard>(io_, MilliClock::now() + CALL_TIME))
        , call_(pool_, *guard_, budget_)
    {
        boost::asio::co_spawn(io_, run(), [this](std::exception_ptr failure) {
            ended_ = true;
            io_.stop();
            if (failure) {
                std::rethrow_exception(failure);
            }
        });
    }

    /// \brief Runs the call until its request has arrived and returns its connection.
    tcp::socket accept()
    {
        tcp::socket socket(serverIo_);
        io_.run_one();
        acceptor_.accept(socket);
        socket.set_option(tcp::no_delay(true));
        while (socket.available() == 0) {
            io_.run_one_for(std::chrono::milliseconds(1));
        }
        std::array<char, KILOBYTE> request;
        socket.read_some(boost::asio::buffer(request));
        return socket;
    }

    boost::asio::io_context &io()
    {
        return io_;
    }

    [[nodiscard]] bool hasEnded() const
    {
        return ended_;
    }

    [[nodiscard]] CallProgress progress() const
    {
        return progress_;
    }

    [[nodiscard]] std::string failure() const
    {
        return call_.failure();
    }

    [[nodiscard]] const std::string &body() const
    {
        return body_;
    }

private:
    awaitable<void> run()
    {
        HttpRequest request = makeHttpRequest(boost::beast::http::verb::post, "/", "text/plain", "x");
        platform::EndpointRequest message = platform::encodeAttempt(request, EndpointAttempt());
        progress_ = co_await call_.open(acceptor_.local_endpoint(), std::move(message), RequestId("r"), MilliClock::now() + CALL_TIME);
        if (progress_ == CallProgress::HeadReceived) {
            body_ = co_await call_.readAll(MEGABYTE);
        }
        call_.release();
    }

    boost::asio::io_context serverIo_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    ConnectionPool pool_;
    ByteBudget budget_;
    std::shared_ptr<CallGuard> guard_;
    EndpointCall call_;
    CallProgress progress_ = CallProgress::NotConnected;
    std::string body_;
    bool ended_ = false;
};

/// \brief Writes \a text, \a count times or until the peer has closed the connection. \return the number of bytes written.
std::size_t writeRepeatedly(tcp::socket &socket, const std::string &text, std::size_t count)
{
    boost::system::error_code error;
    std::size_t written = 0;
    for (std::size_t i = 0; i < count && !error; ++i) {
        written += boost::asio::write(socket, boost::asio::buffer(text), error);
    }
    return written;
}
} // namespace

// Guards against an endpoint that occupies a gateway with an answer to another request: a bound on its body alone allows 200,000 reads of 5 bytes, or
// extensions without end.
TEST_CASE("Skipping an answer to another request takes a bounded number of reads and bytes", "[gateway][bounds]")
{
    const std::string unit = GENERATE(as<std::string>(), "5\r\nxxxxx\r\n", "1\r\nx\r\n", "1;name=" + std::string(4000, 'v') + "\r\nx\r\n");
    CAPTURE(unit.size(), unit.substr(0, 10));
    ServedCall call;
    tcp::socket socket = call.accept();
    std::size_t written = 0;
    std::thread server([&] {
        writeRepeatedly(socket, headFor("another", "Transfer-Encoding: chunked"), 1);
        const std::string block = repeated(unit, 32 * KILOBYTE / unit.size() + 1);
        written = writeRepeatedly(socket, block, 24 * MEGABYTE / block.size());
        socket.close();
    });
    // Each read takes at least one handler and at most two.
    const std::size_t handlers = call.io().run();
    server.join();
    CAPTURE(written, call.failure());
    CHECK(call.progress() == CallProgress::OutcomeUnknown);
    CHECK(call.failure() == "answer to another request is too large to skip");
    CHECK(handlers <= 2 * SKIPPED_READS + 100);
    // What the kernel's buffers of both sides take, and the limit of the gateway.
    constexpr std::size_t takenAtMost = 12 * MEGABYTE;
    CHECK(written < takenAtMost);
}

// Guards against an endpoint that sends each chunk by itself, so that no read finds more than one: a bound in bytes allows 170,000 reads.
TEST_CASE("Skipping an answer that arrives one chunk at a time takes a bounded number of reads", "[gateway][bounds]")
{
    ServedCall call;
    tcp::socket socket = call.accept();
    writeRepeatedly(socket, headFor("another", "Transfer-Encoding: chunked"), 1);
    std::size_t chunks = 0;
    while (!call.hasEnded() && chunks < 3 * SKIPPED_READS) {
        chunks += writeRepeatedly(socket, "1\r\nx\r\n", 1) > 0 ? 1 : 0;
        // The chunk is the only thing that the call waits for, so it is read once all handlers that are due have run.
        call.io().run_one_for(std::chrono::seconds(1));
        call.io().poll();
    }
    CHECK(call.hasEnded());
    CHECK(call.failure() == "answer to another request is too large to skip");
    CHECK(chunks <= SKIPPED_READS + 10);
}

// Guards against a bound that fails a call for an answer to another request of ordinary size, after which the due one comes.
TEST_CASE("The due answer is delivered after one to another request in chunks of one byte", "[gateway][bounds]")
{
    constexpr std::size_t chunks = 64 * KILOBYTE;
    ServedCall call;
    tcp::socket socket = call.accept();
    std::thread server([&] {
        const std::string another = headFor("another", "Transfer-Encoding: chunked") + repeated("1\r\nx\r\n", chunks) + "0\r\n\r\n";
        writeRepeatedly(socket, another + headFor("r", "Transfer-Encoding: chunked") + repeated("1;n=v\r\ny\r\n", chunks) + "0\r\nX-Sum: 1\r\n\r\n", 1);
    });
    const std::size_t handlers = call.io().run();
    server.join();
    CHECK(call.progress() == CallProgress::HeadReceived);
    CHECK(call.body() == std::string(chunks, 'y'));
    CHECK(handlers <= chunks / 10);
}
