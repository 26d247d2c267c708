#include "configuration/servingconfigurationsample.h"
#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include <mimosatally/Http>
#include <platform/storeclient.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <ctime>
#include <thread>

using namespace mimosatally;
using boost::asio::awaitable;
using mimosatally::test::runCoroutine;

namespace
{
constexpr Duration TIMEOUT = Duration(60'000);
/// \brief Bytes that the client decodes at a time.
constexpr std::size_t BLOCK_BYTES = std::size_t(12) * 1024;

std::string base64(const std::string &text)
{
    std::string result((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(result.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    result.resize(static_cast<std::size_t>(length));
    return result;
}

/// \brief Store that answers each call with one page; runs on a thread of its own.
class PageServer
{
public:
    explicit PageServer(std::string page)
        : work_(boost::asio::make_work_guard(io_))
        , page_(std::move(page))
        , server_(io_,
                  parseAddress("127.0.0.1:0"),
                  HttpLimits(),
                  [this](HttpExchange &exchange) -> awaitable<void> {
                      HttpResponse response = makeHttpResponse(200, "application/json", page_);
                      co_await exchange.respond(std::move(response));
                  })
        , thread_([this] {
            io_.run();
        })
    {
    }

    ~PageServer()
    {
        io_.stop();
        thread_.join();
    }

    PageServer(const PageServer &) = delete;
    PageServer &operator=(const PageServer &) = delete;

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return server_.address();
    }

private:
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::string page_;
    HttpServer server_;
    std::thread thread_;
};

std::string pageOf(const std::string &value)
{
    const nlohmann::json item = {{"key", "config"}, {"value", base64(value)}, {"offset", 4}};
    return nlohmann::json({{"items", {item}}, {"hasMore", false}, {"endOffset", 5}}).dump();
}

/// \brief Processor time of this thread in milliseconds, so that other load on the machine does not count.
double threadTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// \brief Measures the longest processor time between two turns of an event loop.
class TurnMeter
{
public:
    explicit TurnMeter(boost::asio::io_context &io)
        : io_(io)
        , last_(threadTime())
    {
        turn();
    }

    [[nodiscard]] double longest() const
    {
        return longest_;
    }

private:
    void turn()
    {
        const double now = threadTime();
        longest_ = std::max(longest_, now - last_);
        last_ = now;
        boost::asio::post(io_, [this] {
            turn();
        });
    }

    boost::asio::io_context &io_;
    double last_;
    double longest_ = 0;
};
} // namespace

// Guards against calls that wait while the snapshot of a large configuration is parsed and decoded at once.
TEST_CASE("The event loop serves others while a large snapshot is decoded", "[platform][snapshot]")
{
    const std::string text = samples::servingConfigurationText(samples::LARGE_CONFIGURATION, 1);
    const std::string page = pageOf(text);
    const double begun = threadTime();
    REQUIRE(nlohmann::json::parse(page).at("items").size() == 1);
    const double parseTime = threadTime() - begun;
    PageServer server(page);
    boost::asio::io_context io;
    platform::StoreClient client(io, server.address());
    const TurnMeter meter(io);
    platform::KeyedSnapshot snapshot;
    runCoroutine(io, [&]() -> awaitable<void> {
        snapshot = co_await client.newest(platform::KeyedTopic::Operators, TIMEOUT);
        // The turn in which the call ends is measured by the next one.
        co_await boost::asio::post(io, boost::asio::use_awaitable);
        co_await boost::asio::post(io, boost::asio::use_awaitable);
    });
    CHECK(snapshot.next == Offset(5));
    REQUIRE(snapshot.records.size() == 1);
    CHECK(snapshot.records.front().value == text);
    INFO("bytes " << text.size() << ", page " << page.size() << ", parsing at once " << parseTime << " ms, longest turn " << meter.longest() << " ms");
    CHECK(meter.longest() < parseTime / 2);
}

// Guards against bytes that are lost or added where the decoder of base64 goes from one block of the text to the next, and at the padding.
TEST_CASE("Values of a snapshot of any length are decoded", "[platform][snapshot]")
{
    const auto length = GENERATE(1U, 2U, 3U, 4U, BLOCK_BYTES - 1, BLOCK_BYTES, BLOCK_BYTES + 1, BLOCK_BYTES + 2, 3 * BLOCK_BYTES, 3 * BLOCK_BYTES + 1);
    std::string value;
    for (std::size_t i = 0; i < length; ++i) {
        value += static_cast<char>(i * 7 % 251);
    }
    PageServer server(pageOf(value));
    boost::asio::io_context io;
    platform::StoreClient client(io, server.address());
    runCoroutine(io, [&]() -> awaitable<void> {
        const platform::KeyedSnapshot snapshot = co_await client.newest(platform::KeyedTopic::Operators, TIMEOUT);
        REQUIRE(snapshot.records.size() == 1);
        CHECK(snapshot.records.front().value == value);
    });
}
