// Stand-in of the platform's instance list, whose changes become visible after a delay.

#include "platformstandin.h"

#include <deque>
#include <nlohmann/json.hpp>

using namespace mimosatally;
using namespace mimosatally::standin;
using boost::asio::awaitable;

namespace
{
constexpr const char *USAGE = R"(Stand-in of the instance list, in the HTTP service discovery format of Prometheus.

    GET  /instances  the list as it was --lag milliseconds ago
    PUT  /instances  sets the list
    POST /control    {"down": BOOL}: every request but /control gets 503

Usage: standin_instances [--port=PORT] [--lag=MS]
       standin_instances --help

Options:
  --port=PORT  Port on 127.0.0.1; 0 lets the system choose [default: 0].
  --lag=MS     Time after which a change becomes visible [default: 0].
)";

class InstanceList
{
public:
    explicit InstanceList(Duration lag)
        : lag_(lag)
    {
    }

    awaitable<void> handle(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        if (pathOf(request) == "/control") {
            down_ = nlohmann::json::parse(request.body()).value("down", down_);
            co_await exchange.respond(makeHttpResponse(200, "application/json", "{}"));
        } else if (down_) {
            co_await exchange.respond(makeHttpResponse(503, "application/json", "{}"));
        } else if (pathOf(request) != "/instances") {
            co_await exchange.respond(makeHttpResponse(404, "application/json", "{}"));
        } else if (request.method() == boost::beast::http::verb::put) {
            co_await setList(exchange);
        } else {
            co_await exchange.respond(makeHttpResponse(200, "application/json", visibleList()));
        }
    }

private:
    awaitable<void> setList(HttpExchange &exchange)
    {
        if (!nlohmann::json::parse(exchange.request().body(), nullptr, false).is_array()) {
            co_await exchange.respond(makeHttpResponse(400, "application/json", R"({"error":"a list is expected"})"));
            co_return;
        }
        pendingChanges_.push_back({MilliClock::now() + lag_, exchange.request().body()});
        co_await exchange.respond(makeHttpResponse(200, "application/json", "{}"));
    }

    const std::string &visibleList()
    {
        while (!pendingChanges_.empty() && pendingChanges_.front().visibleAt <= MilliClock::now()) {
            list_ = std::move(pendingChanges_.front().list);
            pendingChanges_.pop_front();
        }
        return list_;
    }

    struct Change {
        Time visibleAt;
        std::string list;
    };

    Duration lag_;
    std::deque<Change> pendingChanges_;
    std::string list_ = "[]";
    bool down_ = false;
};
} // namespace

int main(int argc, char **argv)
{
    return runProgram(USAGE, argc, argv, [](const Arguments &arguments) {
        boost::asio::io_context io;
        InstanceList list(Duration(arguments.at("--lag").asLong()));
        return serve(io, arguments.at("--port").asLong(), [&list](HttpExchange &exchange) {
            return list.handle(exchange);
        });
    });
}
