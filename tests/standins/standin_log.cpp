// Stand-in of the platform's append-only log service.

#include "logstore.h"
#include "platformstandin.h"

using namespace mimosatally;
using namespace mimosatally::standin;
using boost::asio::awaitable;

namespace
{
constexpr const char *USAGE = R"(Stand-in of the append-only log service, in the format of the Kafka REST proxy, version 1.

    POST /topics/NAME                                    appends {"records":[{"value":...},...]}
    GET  /topics/NAME/partitions/0/messages?offset&count reads
    POST /control                                        sets faults, in JSON:
        down          true: every request but /control gets 503
        slow_ms       time before each answer
        drop_answers  number of appends that take effect without an answer; -1 for all
        retention     number of records that a stream keeps; 0 for all
    GET  /control                                        current settings and the number of append requests

Usage: standin_log [--port=PORT] [--retention=COUNT]
       standin_log --help

Options:
  --port=PORT        Port on 127.0.0.1; 0 lets the system choose [default: 0].
  --retention=COUNT  Number of records that a stream keeps; 0 keeps all [default: 0].
)";
constexpr const char *CONTENT_TYPE = "application/vnd.kafka.json.v1+json";

class LogService
{
public:
    LogService(boost::asio::io_context &io, std::size_t retention)
        : io_(io)
        , store_(retention)
        , retention_(retention)
    {
    }

    awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string path = pathOf(exchange.request());
        if (path == "/control") {
            co_await control(exchange);
            co_return;
        }
        co_await standin::sleepFor(io_, answerDelay_);
        if (down_) {
            co_await exchange.respond(makeHttpResponse(503, CONTENT_TYPE, R"({"error_code":50300,"message":"down"})"));
        } else if (exchange.request().method() == boost::beast::http::verb::post) {
            co_await append(exchange, path);
        } else {
            co_await read(exchange, path);
        }
    }

private:
    awaitable<void> append(HttpExchange &exchange, const std::string &path)
    {
        const LogStore::Json request = LogStore::Json::parse(exchange.request().body(), nullptr, false);
        const std::string topic = topicOf(path);
        if (topic.empty() || !request.is_object() || !request.contains("records")) {
            co_await exchange.respond(makeHttpResponse(422, CONTENT_TYPE, R"({"error_code":42200,"message":"malformed produce request"})"));
            co_return;
        }
        const std::string answer = store_.append(topic, request).dump();
        if (answersToDrop_ != 0) {
            answersToDrop_ -= answersToDrop_ > 0 ? 1 : 0;
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(makeHttpResponse(200, CONTENT_TYPE, answer));
    }

    awaitable<void> read(HttpExchange &exchange, const std::string &path)
    {
        const std::string topic = topicOf(path);
        if (!store_.contains(topic) || !path.ends_with("/partitions/0/messages")) {
            co_await exchange.respond(makeHttpResponse(404, CONTENT_TYPE, R"({"error_code":40401,"message":"topic not found"})"));
            co_return;
        }
        const std::string offset = queryParameter(exchange.request(), "offset");
        const std::string count = queryParameter(exchange.request(), "count");
        const LogStore::Json messages = store_.read(topic, offset.empty() ? 0 : std::stoll(offset), count.empty() ? 1 : std::stoll(count));
        co_await exchange.respond(makeHttpResponse(200, CONTENT_TYPE, messages.dump()));
    }

    awaitable<void> control(HttpExchange &exchange)
    {
        if (exchange.request().method() == boost::beast::http::verb::post) {
            const nlohmann::json request = nlohmann::json::parse(exchange.request().body());
            down_ = request.value("down", down_);
            answerDelay_ = Duration(request.value("slow_ms", answerDelay_.count()));
            answersToDrop_ = request.value("drop_answers", answersToDrop_);
            retention_ = request.value("retention", retention_);
            store_.setRetention(retention_);
        }
        const nlohmann::json answer = {
            {"down", down_}, {"slow_ms", answerDelay_.count()}, {"drop_answers", answersToDrop_}, {"retention", retention_}, {"appends", store_.appendCount()}};
        co_await exchange.respond(makeHttpResponse(200, "application/json", answer.dump()));
    }

    /// \brief Topic of `/topics/NAME...`, or an empty string.
    static std::string topicOf(const std::string &path)
    {
        const std::string prefix = "/topics/";
        if (!path.starts_with(prefix)) {
            return {};
        }
        return path.substr(prefix.size(), path.find('/', prefix.size()) - prefix.size());
    }

    boost::asio::io_context &io_;
    LogStore store_;
    std::size_t retention_;
    bool down_ = false;
    Duration answerDelay_ = Duration(0);
    std::int64_t answersToDrop_ = 0;
};
} // namespace

int main(int argc, char **argv)
{
    return runProgram(USAGE, argc, argv, [](const Arguments &arguments) {
        boost::asio::io_context io;
        LogService service(io, static_cast<std::size_t>(arguments.at("--retention").asLong()));
        return serve(io, arguments.at("--port").asLong(), [&service](HttpExchange &exchange) {
            return service.handle(exchange);
        });
    });
}
