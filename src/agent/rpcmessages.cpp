#include "rpcagent.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
constexpr std::size_t MAX_ID_BYTES = 256;
constexpr std::size_t MAX_PATH_BYTES = 8192;
constexpr std::int64_t MAX_TOKENS = 100'000'000;
/// \brief One day. Longer waits only occur in faulty messages and are shortened to it.
constexpr std::int64_t MAX_WAIT_MS = 24LL * 60 * 60 * 1000;

std::string readText(const char *name, capnp::Text::Reader text, std::size_t maxBytes)
{
    if (text.size() > maxBytes) {
        throw MalformedInputError(std::string(name) + " is too long");
    }
    return {text.cStr(), text.size()};
}

std::string readIdentifier(const char *name, capnp::Text::Reader text)
{
    std::string value = readText(name, text, MAX_ID_BYTES);
    if (value.empty()) {
        throw MalformedInputError(std::string(name) + " is empty");
    }
    return value;
}

/// \brief Reads text that becomes part of an HTTP header. Control characters are rejected, since they could inject header lines.
std::string readHeaderText(const char *name, capnp::Text::Reader text, std::size_t maxBytes)
{
    std::string value = readText(name, text, maxBytes);
    const bool hasControl = std::any_of(value.begin(), value.end(), [](unsigned char character) {
        constexpr unsigned char firstPrintable = 0x20;
        constexpr unsigned char deleteCharacter = 0x7f;
        return character < firstPrintable || character == deleteCharacter;
    });
    if (hasControl) {
        throw MalformedInputError(std::string(name) + " has a control character");
    }
    return value;
}

std::int64_t readNumber(const char *name, std::int64_t value, std::int64_t maximum)
{
    if (value < 0 || value > maximum) {
        throw MalformedInputError(std::string(name) + " is out of range");
    }
    return value;
}

void readRequestHead(AgentRequest &request, schema::Request::Reader message)
{
    request.method = readHeaderText("method", message.getMethod(), MAX_ID_BYTES);
    request.path = readHeaderText("path", message.getPath(), MAX_PATH_BYTES);
    request.contentType = readHeaderText("contentType", message.getContentType(), MAX_ID_BYTES);
    request.idempotencyKey = readHeaderText("idempotencyKey", message.getIdempotencyKey(), MAX_ID_BYTES);
    const bool validMethod = !request.method.empty() && std::all_of(request.method.begin(), request.method.end(), [](char character) {
        return character >= 'A' && character <= 'Z';
    });
    if (!validMethod || !request.path.starts_with('/') || request.path.find(' ') != std::string::npos) {
        throw MalformedInputError("method or path is not valid");
    }
}

OrderKind readKind(schema::OrderKind kind)
{
    switch (kind) {
    case schema::OrderKind::DRAIN:
        return OrderKind::Drain;
    case schema::OrderKind::WITHDRAW:
        return OrderKind::Withdraw;
    case schema::OrderKind::LOAD_MODEL:
        return OrderKind::LoadModel;
    case schema::OrderKind::UNLOAD_MODEL:
        return OrderKind::UnloadModel;
    case schema::OrderKind::LOAD_ADAPTER:
        return OrderKind::LoadAdapter;
    case schema::OrderKind::UNLOAD_ADAPTER:
        return OrderKind::UnloadAdapter;
    case schema::OrderKind::CHANGE_ROLE:
        return OrderKind::ChangeRole;
    }
    throw MalformedInputError("unknown kind of order");
}

schema::OutcomeKind toMessage(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Answered:
        return schema::OutcomeKind::ANSWERED;
    case OutcomeKind::NotRun:
        return schema::OutcomeKind::NOT_RUN;
    case OutcomeKind::Unknown:
        return schema::OutcomeKind::UNKNOWN;
    }
    return schema::OutcomeKind::UNKNOWN;
}
} // namespace

std::shared_ptr<AgentRequest> readRequest(boost::asio::io_context &io, schema::Request::Reader message, Time now)
{
    auto request = std::make_shared<AgentRequest>(io);
    request->id = RequestId(readHeaderText("id", message.getId(), MAX_ID_BYTES));
    request->customer = CustomerId(readIdentifier("customer", message.getCustomer()));
    if (request->id.empty()) {
        throw MalformedInputError("id is empty");
    }
    readRequestHead(*request, message);
    const auto body = message.getBody();
    request->body.assign(reinterpret_cast<const char *>(body.begin()), body.size());
    request->model = ModelId(readText("model", message.getModel(), MAX_ID_BYTES));
    request->service = ServiceId(readText("service", message.getService(), MAX_ID_BYTES));
    request->targetIncarnation = IncarnationId(readText("agentIncarnation", message.getAgentIncarnation(), MAX_ID_BYTES));
    request->expected.prompt = Tokens(readNumber("promptTokens", message.getPromptTokens(), MAX_TOKENS));
    request->expected.output = Tokens(readNumber("maxOutputTokens", message.getMaxOutputTokens(), MAX_TOKENS));
    request->mayRepeat = message.getMayRepeat();
    if (!request->mayRepeat) {
        request->claim = Offset(message.getClaimOffset());
        request->claimPartition = static_cast<int>(readNumber("claimPartition", message.getClaimPartition(), std::numeric_limits<int>::max()));
    }
    request->receivedAt = now;
    request->startDeadline = now + Duration(std::clamp<std::int64_t>(message.getRemainingWaitMs(), 0, MAX_WAIT_MS));
    return request;
}

Order readOrder(schema::Order::Reader message)
{
    constexpr std::int64_t maxLifetimeMs = 10LL * 60 * 1000;
    Order order;
    order.id = OrderId(readIdentifier("id", message.getId()));
    order.kind = readKind(message.getKind());
    order.argument = readText("argument", message.getArgument(), MAX_ID_BYTES);
    order.scope = LeaseScope(readIdentifier("scope", message.getScope()));
    order.epoch = Epoch(message.getEpoch());
    order.agentIncarnation = IncarnationId(readIdentifier("agentIncarnation", message.getAgentIncarnation()));
    order.lifetime = Duration(readNumber("lifetimeMs", message.getLifetimeMs(), maxLifetimeMs));
    return order;
}

void writeOutcome(const RequestOutcome &outcome, ConfigurationVersion version, schema::Outcome::Builder message)
{
    message.setKind(toMessage(outcome.kind));
    message.setStatus(static_cast<std::uint16_t>(outcome.status));
    message.setReason(outcome.reason);
    message.setRetryAfterMs(outcome.retryAfter ? outcome.retryAfter->count() : -1);
    message.setConfigurationVersion(version.count());
    message.setPromptTokens(outcome.usage.prompt.count());
    message.setOutputTokens(outcome.usage.output.count());
    message.setAnswerBytes(outcome.answerBytes.count());
    message.setQueuedMs(outcome.queueWait.count());
}

} // namespace mimosatally::internal
