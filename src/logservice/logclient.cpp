#include <mimosatally/LogService>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace http = boost::beast::http;
using boost::asio::awaitable;

namespace
{
constexpr const char *CONTENT_TYPE = "application/vnd.kafka.json.v1+json";
constexpr int NOT_FOUND = 404;

[[noreturn]] void throwStatus(const std::string &operation, const HttpResponse &response)
{
    throw UnreachableError("log service: " + operation + " returned status " + std::to_string(response.result_int()));
}

[[noreturn]] void throwMalformed(const std::string &operation)
{
    throw UnreachableError("log service: " + operation + " returned a malformed answer");
}

/// \brief The payloads are JSON texts, so they are joined without being parsed.
std::string produceBody(const std::vector<std::string> &payloads)
{
    std::string body = "{\"records\":[";
    for (const std::string &payload : payloads) {
        body += (body.back() == '[' ? "{\"value\":" : ",{\"value\":") + payload + '}';
    }
    return body + "]}";
}

std::vector<Offset> parseOffsets(const std::string &body, std::size_t expected)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    std::vector<Offset> offsets;
    try {
        for (const nlohmann::json &entry : json.at("offsets")) {
            offsets.emplace_back(entry.at("offset").get<std::int64_t>());
        }
    } catch (const nlohmann::json::exception &) {
        throwMalformed("append");
    }
    if (offsets.size() != expected) {
        throwMalformed("append");
    }
    return offsets;
}

std::vector<LogRecord> parseRecords(const std::string &body)
{
    // Ordered, so that a payload is returned with its keys in the order in which they were appended.
    const nlohmann::ordered_json json = nlohmann::ordered_json::parse(body, nullptr, false);
    std::vector<LogRecord> records;
    try {
        if (!json.is_array()) {
            throwMalformed("read");
        }
        for (const nlohmann::ordered_json &entry : json) {
            records.push_back({Offset(entry.at("offset").get<std::int64_t>()), entry.at("value").dump()});
        }
    } catch (const nlohmann::json::exception &) {
        throwMalformed("read");
    }
    return records;
}
} // namespace

LogClient::LogClient(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint server)
    : client_(io, std::move(server))
{
}

awaitable<std::vector<Offset>> LogClient::append(std::string stream, std::vector<std::string> payloads, Duration timeout)
{
    HttpRequest request = makeHttpRequest(http::verb::post, "/topics/" + stream, CONTENT_TYPE, produceBody(payloads));
    request.set(http::field::accept, CONTENT_TYPE);
    const Offset newestBefore = newestOffset(stream);
    const HttpResponse response = co_await client_.send(std::move(request), timeout);
    if (response.result() != http::status::ok) {
        throwStatus("append to " + stream, response);
    }
    const std::vector<Offset> offsets = parseOffsets(response.body(), payloads.size());
    if (!offsets.empty()) {
        requireGrowth(stream, offsets.front(), newestBefore);
        recordOffset(stream, offsets.back());
    }
    co_return offsets;
}

Offset LogClient::newestOffset(const std::string &stream) const
{
    const auto found = newest_.find(stream);
    return found == newest_.end() ? Offset(-1) : found->second;
}

void LogClient::recordOffset(const std::string &stream, Offset offset)
{
    Offset &newest = newest_.try_emplace(stream, offset).first->second;
    newest = std::max(newest, offset);
}

void LogClient::requireGrowth(const std::string &stream, Offset offset, Offset newestBefore) const
{
    if (offset > newestBefore) {
        return;
    }
    logEvent(LogEvent::LogWentBack, {{"stream", stream}, {"offset", offset}, {"newest", newestBefore}});
    throw UnreachableError("log service: append to " + stream + " returned offset " + std::to_string(offset.count()) + ", which was given out before");
}

awaitable<LogReadResult> LogClient::read(std::string stream, Offset from, int limit, Duration timeout)
{
    const std::string target = "/topics/" + stream + "/partitions/0/messages?offset=" + std::to_string(from.count()) + "&count=" + std::to_string(limit);
    HttpRequest request = makeHttpRequest(http::verb::get, target);
    request.set(http::field::accept, CONTENT_TYPE);
    const HttpResponse response = co_await client_.send(std::move(request), timeout);
    LogReadResult result;
    if (response.result_int() == NOT_FOUND) {
        // A stream does not exist before its first record.
        co_return result;
    }
    if (response.result() != http::status::ok) {
        throwStatus("read of " + stream, response);
    }
    result.records = parseRecords(response.body());
    result.hasGap = !result.records.empty() && result.records.front().offset > from;
    if (!result.records.empty()) {
        recordOffset(stream, result.records.back().offset);
    }
    co_return result;
}

} // namespace mimosatally
