#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace mimosatally::test
{

/// \brief Stand-in for the platform's API: records the calls, and answers 200 unless told otherwise.
class PlatformApiStandin
{
public:
    struct Call {
        std::string target;
        std::string body;
        std::string holder;
        std::int64_t token = 0;
        /// \brief Status of the answer; 0 if there was none.
        unsigned status = 200;

        [[nodiscard]] std::int64_t window() const
        {
            return nlohmann::json::parse(body).at("window").get<std::int64_t>();
        }
    };

    explicit PlatformApiStandin(boost::asio::io_context &io)
        : io_(io)
        , server_(io, parseAddress("127.0.0.1:0"), HttpLimits(), [this](HttpExchange &exchange) {
            return handle(exchange);
        })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return toString(server_.address());
    }

    /// \brief Decides the status of the answer to each call; 0 means none.
    void answerWith(std::function<unsigned(const Call &)> decide)
    {
        decide_ = std::move(decide);
    }

    [[nodiscard]] const std::vector<Call> &calls() const
    {
        return calls_;
    }

private:
    boost::asio::awaitable<void> handle(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        Call call {std::string(request.target()),
                   request.body(),
                   headerValue(request, "X-Mimosatally-Lease-Holder"),
                   std::stoll(headerValue(request, "X-Mimosatally-Fencing-Token"))};
        call.status = decide_ ? decide_(call) : call.status;
        calls_.push_back(call);
        if (call.status == 0) {
            boost::asio::steady_timer timer(io_, std::chrono::seconds(3));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        co_await exchange.respond(makeHttpResponse(call.status == 0 ? 500 : call.status, "application/json", "{}"));
    }

    boost::asio::io_context &io_;
    HttpServer server_;
    std::function<unsigned(const Call &)> decide_;
    std::vector<Call> calls_;
};

} // namespace mimosatally::test
