#include "callreader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
using nlohmann::json;

constexpr std::string_view SERVICES_PREFIX = "/services/";
/// \brief Keys are stored in log records, so their size is bounded.
constexpr std::size_t MAX_IDEMPOTENCY_KEY_BYTES = 255;
constexpr std::size_t MAX_JSON_DEPTH = 64;
constexpr std::int64_t MAX_OUTPUT_TOKENS = 10'000'000;

json parseBody(const std::string &body)
{
    const auto checkDepth = [](int depth, json::parse_event_t, json &) {
        if (depth > static_cast<int>(MAX_JSON_DEPTH)) {
            throw CallRefusedError(malformed("the request body is nested too deeply"));
        }
        return true;
    };
    try {
        json document = json::parse(body, checkDepth);
        if (!document.is_object()) {
            throw CallRefusedError(malformed("the request body must be a JSON object"));
        }
        return document;
    } catch (const json::exception &) {
        throw CallRefusedError(malformed("the request body is not valid JSON"));
    }
}

const json &requiredField(const json &document, const char *name)
{
    const auto found = document.find(name);
    if (found == document.end()) {
        throw CallRefusedError(malformed(std::string("the field ") + name + " is missing", name));
    }
    return *found;
}

ModelId readModel(const json &document, const ConfigurationState &state)
{
    const json &field = requiredField(document, "model");
    if (!field.is_string()) {
        throw CallRefusedError(malformed("the field model must be a string", "model"));
    }
    ModelId model(field.get<std::string>());
    if (!isServed(state, model)) {
        throw CallRefusedError({.status = status::NOT_FOUND,
                                .reason = "unknown-model",
                                .message = "the model " + model.value() + " is not known",
                                .param = "model",
                                .retryAfter = std::nullopt});
    }
    return model;
}

/// \brief Appends the text of a content field: a string or a list of parts.
void appendContent(const json &content, std::string &text)
{
    if (content.is_string()) {
        text += content.get_ref<const std::string &>();
        return;
    }
    if (content.is_null()) {
        return;
    }
    if (!content.is_array()) {
        throw CallRefusedError(malformed("the content of a message must be a string or a list of parts", "messages"));
    }
    for (const json &part : content) {
        if (!part.is_object()) {
            throw CallRefusedError(malformed("a part of a message's content must be an object", "messages"));
        }
        const auto found = part.find("text");
        if (found != part.end() && found->is_string()) {
            text += found->get_ref<const std::string &>();
        }
    }
}

std::string chatPrompt(const json &document)
{
    const json &messages = requiredField(document, "messages");
    if (!messages.is_array() || messages.empty()) {
        throw CallRefusedError(malformed("the field messages must be a list with at least one message", "messages"));
    }
    std::string text;
    for (const json &message : messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            throw CallRefusedError(malformed("each message must be an object with a role", "messages"));
        }
        text += message["role"].get_ref<const std::string &>();
        text += '\n';
        appendContent(message.value("content", json()), text);
        text += '\n';
    }
    return text;
}

std::string completionPrompt(const json &document)
{
    const json &prompt = requiredField(document, "prompt");
    if (prompt.is_string()) {
        return prompt.get<std::string>();
    }
    if (!prompt.is_array()) {
        throw CallRefusedError(malformed("the field prompt must be a string or a list", "prompt"));
    }
    std::string text;
    for (const json &item : prompt) {
        if (!item.is_string() && !item.is_number_integer() && !item.is_array()) {
            throw CallRefusedError(malformed("the list prompt must hold strings or tokens", "prompt"));
        }
        text += item.is_string() ? item.get<std::string>() : item.dump();
        text += '\n';
    }
    return text;
}

Tokens readMaxTokens(const json &document)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = document.find(name);
        if (found == document.end() || found->is_null()) {
            continue;
        }
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1 || found->get<std::int64_t>() > MAX_OUTPUT_TOKENS) {
            throw CallRefusedError(malformed(std::string("the field ") + name + " must be a positive integer", name));
        }
        return Tokens(found->get<std::int64_t>());
    }
    return Tokens(0);
}

void checkStreamFlag(const json &document)
{
    const auto found = document.find("stream");
    if (found != document.end() && !found->is_null() && !found->is_boolean()) {
        throw CallRefusedError(malformed("the field stream must be true or false", "stream"));
    }
}

std::string readIdempotencyKey(const HttpRequest &request)
{
    if (request.find("Idempotency-Key") == request.end()) {
        return {};
    }
    std::string key = headerValue(request, "Idempotency-Key");
    const bool isPrintable = std::ranges::all_of(key, [](unsigned char c) {
        return c > ' ' && c < 0x7f;
    });
    if (key.empty() || key.size() > MAX_IDEMPOTENCY_KEY_BYTES || !isPrintable) {
        throw CallRefusedError(malformed("the header Idempotency-Key must have 1 to 255 printable characters without spaces", "Idempotency-Key"));
    }
    return key;
}

bool methodMatches(const ServiceRoute &route, std::string_view method)
{
    return route.method.empty() || route.method == "*" || route.method == method;
}

bool canRepeatServiceCall(const Service &service, std::string_view method, std::string_view path)
{
    for (const ServiceRoute &route : service.routes) {
        if (methodMatches(route, method) && path.starts_with(route.pathPrefix)) {
            return route.mayRepeat;
        }
    }
    return method == "GET" || method == "HEAD";
}

Call makeCall(const HttpRequest &request)
{
    Call call;
    call.method = std::string(request.method_string());
    call.contentType = headerValue(request, "Content-Type");
    call.body = request.body();
    call.idempotencyKey = readIdempotencyKey(request);
    call.mayRepeat = call.idempotencyKey.empty();
    return call;
}
} // namespace

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool isModelPath(std::string_view path)
{
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

bool isServed(const ConfigurationState &state, const ModelId &model)
{
    return std::ranges::any_of(state.configuration.endpoints, [&model](const Endpoint &endpoint) {
        return std::ranges::find(endpoint.models, model) != endpoint.models.end();
    });
}

std::vector<std::uint64_t> cacheBlockHashes(const ModelId &model, std::string_view prompt, std::size_t blockBytes)
{
    constexpr std::size_t hashDigits = 16;
    constexpr int hexadecimal = 16;
    std::vector<std::uint64_t> hashes;
    std::string previous = model.value();
    for (std::size_t start = 0; blockBytes > 0 && start + blockBytes <= prompt.size(); start += blockBytes) {
        previous += '\n';
        previous += prompt.substr(start, blockBytes);
        previous = sha256Hex(previous);
        hashes.push_back(std::stoull(previous.substr(0, hashDigits), nullptr, hexadecimal));
    }
    return hashes;
}

Call readModelCall(const HttpRequest &request, const ConfigurationState &state)
{
    Call call = makeCall(request);
    call.path = std::string(request.target());
    const json document = parseBody(request.body());
    call.model = readModel(document, state);
    checkStreamFlag(document);
    call.maxOutputTokens = readMaxTokens(document);
    const std::string prompt = pathOf(call.path) == "/v1/chat/completions" ? chatPrompt(document) : completionPrompt(document);
    call.promptTokens = Tokens(static_cast<std::int64_t>(prompt.size()) / BYTES_PER_TOKEN + 1);
    const std::int64_t blockBytes = state.configuration.cacheBlockTokens.count() * BYTES_PER_TOKEN;
    call.cacheBlockHashes = cacheBlockHashes(call.model, prompt, static_cast<std::size_t>(std::max<std::int64_t>(blockBytes, 0)));
    return call;
}

Call readServiceCall(const HttpRequest &request, const ConfigurationState &state)
{
    Call call = makeCall(request);
    std::string target(request.target());
    const std::string serviceAndPath = target.substr(SERVICES_PREFIX.size());
    const auto serviceEnd = std::min(serviceAndPath.find_first_of("/?"), serviceAndPath.size());
    call.service = ServiceId(serviceAndPath.substr(0, serviceEnd));
    call.path = serviceAndPath.substr(serviceEnd);
    if (call.path.empty() || call.path.front() != '/') {
        call.path.insert(0, 1, '/');
    }
    const Service *service = state.findService(call.service);
    if (service == nullptr) {
        throw CallRefusedError(
            {.status = status::NOT_FOUND, .reason = "unknown-service", .message = "the service is not known", .param = {}, .retryAfter = std::nullopt});
    }
    if (call.mayRepeat && !canRepeatServiceCall(*service, call.method, pathOf(call.path))) {
        throw CallRefusedError({.status = status::UNPROCESSABLE_CONTENT,
                                .reason = "idempotency-key-missing",
                                .message = "this call may not be repeated, so it needs the header Idempotency-Key",
                                .param = "Idempotency-Key",
                                .retryAfter = std::nullopt});
    }
    return call;
}

} // namespace mimosatally::internal
