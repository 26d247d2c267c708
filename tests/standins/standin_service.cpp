#include "standinserver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>

using namespace mimosatally;
using namespace mimosatally::standin;
using boost::asio::awaitable;
using nlohmann::json;

namespace
{
/// \brief Answers each request with its method, path and body hash, and counts how often each one ran.
class Service
{
public:
    Service(boost::asio::io_context &io, const StandinOptions &options)
        : io_(io)
        , delay_(options.number("delay-ms", 0))
        , answerStatus_(static_cast<unsigned>(options.number("status", 200)))
    {
    }

    awaitable<void> handle(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        const std::string target(request.target());
        if (target == "/ledger") {
            const json ledger = {{"requests", runsByRequest_}, {"bodies", runsByBody_}, {"running", running_}, {"completed", completed_}};
            co_await exchange.respond(jsonResponse(200, ledger));
            co_return;
        }
        if (target == "/load") {
            const json load = {{"running", running_}, {"waiting", 0}};
            co_await exchange.respond(jsonResponse(200, load));
            co_return;
        }
        const std::string bodyHash = sha256Hex(request.body());
        ++runsByRequest_[headerValue(request, "X-Request-Id")];
        ++runsByBody_[bodyHash];
        ++running_;
        if (delay_.count() > 0) {
            boost::asio::steady_timer timer(io_, delay_);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        --running_;
        ++completed_;
        const json answer = {{"method", std::string(request.method_string())}, {"path", target}, {"body_sha256", bodyHash}};
        co_await exchange.respond(jsonResponse(answerStatus_, answer));
    }

private:
    boost::asio::io_context &io_;
    Duration delay_;
    unsigned answerStatus_;
    std::map<std::string, long> runsByRequest_;
    std::map<std::string, long> runsByBody_;
    long running_ = 0;
    long completed_ = 0;
};
} // namespace

int main(int argc, char **argv)
{
    const StandinOptions options(argc, argv);
    boost::asio::io_context io;
    Service service(io, options);
    return serveUntilSignal(io, options, [&service](HttpExchange &exchange) {
        return service.handle(exchange);
    });
}
