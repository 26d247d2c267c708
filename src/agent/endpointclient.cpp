#include "endpointclient.h"

#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using nlohmann::json;

namespace
{
/// \brief Maximum time without data from the endpoint; a long prompt or a non-streaming answer sends no byte before its end.
constexpr Duration ENDPOINT_IDLE_TIMEOUT(300000);
constexpr Duration CONTROL_TIMEOUT(2000);
/// \brief The end of an answer waits for as long.
constexpr Duration LIVENESS_TIMEOUT(700);
constexpr unsigned STATUS_OK = 200;

/// \brief Options of a client whose calls have a connection each: nothing in an answer of the endpoint ties it to its call (docs/answers.md).
HttpClient::Options singleCallOptions()
{
    HttpClient::Options options;
    options.maxIdleConnections = 0;
    return options;
}

HttpRequest toHttp(const AgentRequest &request)
{
    HttpRequest message = makeHttpRequest(http::verb::post, request.path, request.contentType, request.body);
    message.method_string(request.method);
    message.set("X-Request-Id", request.id.value());
    if (!request.idempotencyKey.empty()) {
        message.set("Idempotency-Key", request.idempotencyKey);
    }
    return message;
}

HttpRequest loadRequest()
{
    return makeHttpRequest(http::verb::get, "/load");
}

EndpointReport parseReport(const std::string &text)
{
    EndpointReport report;
    try {
        const json body = json::parse(text);
        report.healthy = true;
        report.age = Duration(body.value("age_ms", std::int64_t(0)));
        report.freeCacheBlocks = body.value("cache_blocks_free", std::int64_t(0));
        report.prefillTokensPerSecond = body.value("prefill_tokens_per_second", 0.0);
        report.decodeTokensPerSecond = body.value("decode_tokens_per_second", 0.0);
        report.role = body.value("role", "");
        for (const json &model : body.value("models", json::array())) {
            report.models.emplace_back(model.get<std::string>());
        }
        report.orderInProgress = body.contains("order_in_progress") && !body["order_in_progress"].is_null();
        report.lastOrder = body.value("last_order", "");
    } catch (const json::exception &error) {
        throw MalformedInputError(std::string("malformed load report of the endpoint: ") + error.what());
    }
    return report;
}
} // namespace

EndpointClient::EndpointClient(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address)
    : client_(io, address, singleCallOptions())
{
}

awaitable<EndpointReport> EndpointClient::report(Duration timeout)
{
    const HttpResponse response = co_await client_.send(loadRequest(), timeout);
    if (response.result_int() != STATUS_OK) {
        // A service need not report its load; any answer shows that it is alive.
        EndpointReport report;
        report.healthy = true;
        report.receivedAt = MilliClock::now();
        co_return report;
    }
    EndpointReport report = parseReport(response.body());
    report.receivedAt = MilliClock::now();
    co_return report;
}

awaitable<StreamedBody> EndpointClient::dispatch(const AgentRequest &request, HttpClient::HeadHandler onHead, HttpClient::DataHandler onData)
{
    const StreamedBody body = co_await client_.stream(toHttp(request), ENDPOINT_IDLE_TIMEOUT, std::move(onHead), std::move(onData));
    co_return body;
}

awaitable<bool> EndpointClient::isAlive()
{
    try {
        co_await client_.send(loadRequest(), LIVENESS_TIMEOUT);
        co_return true;
    } catch (const UnreachableError &) {
        co_return false;
    }
}

awaitable<void> EndpointClient::cancel(RequestId id)
{
    try {
        const json body = {{"request", id.value()}};
        co_await client_.send(makeHttpRequest(http::verb::post, "/cancel", "application/json", body.dump()), CONTROL_TIMEOUT);
    } catch (const UnreachableError &error) {
        logEvent(LogEvent::EndpointUnreachable, {{"request", id}, {"error", error.what()}});
    }
}

awaitable<EndpointOrderResult> EndpointClient::order(EndpointOrder order, Duration timeout)
{
    const json body = {{"id", order.id}, {"kind", order.kind}, {"argument", order.argument}, {"epoch", order.epoch.count()}};
    try {
        const HttpResponse response = co_await client_.send(makeHttpRequest(http::verb::post, "/orders", "application/json", body.dump()), timeout);
        co_return response.result_int() == STATUS_OK ? EndpointOrderResult::Done : EndpointOrderResult::Refused;
    } catch (const ConnectError &) {
        co_return EndpointOrderResult::Refused;
    } catch (const UnreachableError &) {
        co_return EndpointOrderResult::Unknown;
    }
}

} // namespace mimosatally::internal
