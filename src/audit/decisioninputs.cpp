#include <mimosatally/Audit>

#include <array>
#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace
{
using Json = nlohmann::json;

Json write(const Json &value)
{
    return value;
}

template<class Tag>
Json write(const StrongId<Tag> &id)
{
    return id.value();
}

template<class Tag>
Json write(Quantity<Tag> quantity)
{
    return quantity.count();
}

Json write(Duration duration)
{
    return duration.count();
}

Json write(Time time)
{
    return time.time_since_epoch().count();
}

template<class Value>
void read(const Json &json, Value &value)
{
    json.get_to(value);
}

template<class Tag>
void read(const Json &json, StrongId<Tag> &id)
{
    id = StrongId<Tag>(json.get<std::string>());
}

template<class Tag>
void read(const Json &json, Quantity<Tag> &quantity)
{
    quantity = Quantity<Tag>(json.get<std::int64_t>());
}

void read(const Json &json, Duration &duration)
{
    duration = Duration(json.get<std::int64_t>());
}

void read(const Json &json, Time &time)
{
    time = Time(Duration(json.get<std::int64_t>()));
}

template<class Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, const char *>, N>;

constexpr EnumNames<RefusalStage, 4> REFUSAL_STAGE_NAMES = {
    {{RefusalStage::Entry, "entry"}, {RefusalStage::Gate, "gate"}, {RefusalStage::Enqueue, "enqueue"}, {RefusalStage::Expire, "expire"}}};
constexpr EnumNames<CancelWord, 3> CANCEL_RESULT_NAMES = {
    {{CancelWord::NeverStarted, "never_started"}, {CancelWord::Started, "started"}, {CancelWord::Finished, "finished"}}};

template<class Enum, std::size_t N>
Json writeEnum(const EnumNames<Enum, N> &names, Enum value)
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    throw MalformedInputError("enumerator has no name");
}

template<class Enum, std::size_t N>
Enum readEnum(const EnumNames<Enum, N> &names, const std::string &text)
{
    for (const auto &[candidate, name] : names) {
        if (text == name) {
            return candidate;
        }
    }
    throw MalformedInputError("unknown value \"" + text + '"');
}

Json write(RefusalStage stage)
{
    return writeEnum(REFUSAL_STAGE_NAMES, stage);
}

void read(const Json &json, RefusalStage &stage)
{
    stage = readEnum(REFUSAL_STAGE_NAMES, json.get<std::string>());
}

Json write(CancelWord result)
{
    return writeEnum(CANCEL_RESULT_NAMES, result);
}

void read(const Json &json, CancelWord &result)
{
    result = readEnum(CANCEL_RESULT_NAMES, json.get<std::string>());
}

// visitFields() lists the fields of each struct; Writer serializes and Reader parses them.

template<class Visitor, class Value>
void visitFields(Visitor &visit, Value &value);

template<class Value>
Json writeFields(const Value &value);

template<class Value>
concept HasFields = std::is_class_v<Value> && std::is_aggregate_v<Value>;

struct Writer {
    Json json = Json::object();

    template<class Value>
    void operator()(const char *name, const Value &value)
    {
        if constexpr (HasFields<Value>) {
            json[name] = writeFields(value);
        } else {
            json[name] = write(value);
        }
    }

    template<class Value>
    void operator()(const char *name, const std::optional<Value> &value)
    {
        if (value) {
            (*this)(name, *value);
        }
    }

    template<class Value>
    void operator()(const char *name, const std::vector<Value> &values)
    {
        Json list = Json::array();
        for (const Value &value : values) {
            list.push_back(writeFields(value));
        }
        json[name] = std::move(list);
    }
};

struct Reader {
    const Json &json;

    template<class Value>
    void operator()(const char *name, Value &value)
    {
        if constexpr (HasFields<Value>) {
            Reader inner {json.at(name)};
            visitFields(inner, value);
        } else {
            read(json.at(name), value);
        }
    }

    template<class Value>
    void operator()(const char *name, std::optional<Value> &value)
    {
        if (json.contains(name)) {
            (*this)(name, value.emplace());
        }
    }

    template<class Value>
    void operator()(const char *name, std::vector<Value> &values)
    {
        for (const Json &element : json.at(name)) {
            Reader inner {element};
            visitFields(inner, values.emplace_back());
        }
    }
};

template<class Value>
Json writeFields(const Value &value)
{
    Writer writer;
    visitFields(writer, value);
    return std::move(writer.json);
}

template<class Visitor, class Value>
void visitFields(Visitor &visit, Value &value)
{
    using Type = std::remove_const_t<Value>;
    if constexpr (std::is_same_v<Type, TokenUsage>) {
        visit("prompt", value.prompt);
        visit("output", value.output);
    } else if constexpr (std::is_same_v<Type, TokenCosts>) {
        visit("prompt_token", value.promptToken);
        visit("output_token", value.outputToken);
    } else if constexpr (std::is_same_v<Type, Contract>) {
        visit("customer", value.customer);
        visit("share_millionths", value.shareMillionths);
        visit("priority", value.priority);
        visit("longest_wait_ms", value.longestWait);
    } else if constexpr (std::is_same_v<Type, EndpointCapacity>) {
        visit("max_concurrent_requests", value.maxConcurrentRequests);
        visit("prefill_tokens_per_second", value.prefillTokensPerSecond);
        visit("decode_tokens_per_second", value.decodeTokensPerSecond);
    } else if constexpr (std::is_same_v<Type, CustomerService>) {
        visit("customer", value.customer);
        visit("weighted_tokens", value.weightedTokens);
    } else if constexpr (std::is_same_v<Type, ProcessStartedInputs>) {
        visit("process", value.process);
        visit("incarnation", value.incarnation);
        visit("role", value.role);
    } else if constexpr (std::is_same_v<Type, ConfigurationInputs>) {
        visit("contracts", value.contracts);
        visit("costs", value.costs);
        visit("capacity", value.capacity);
        visit("endpoint", value.endpoint);
    } else if constexpr (std::is_same_v<Type, CallerRejectedInputs>) {
        visit("reason", value.reason);
    } else if constexpr (std::is_same_v<Type, AdmittedInputs>) {
        visit("model", value.model);
        visit("service", value.service);
        visit("expected", value.expected);
        visit("may_repeat", value.mayRepeat);
        visit("start_deadline_ms", value.startDeadline);
    } else if constexpr (std::is_same_v<Type, RoutedInputs>) {
        visit("endpoint", value.endpoint);
        visit("agent_incarnation", value.agentIncarnation);
        visit("reason", value.reason);
        visit("predicted_wait_ms", value.predictedWait);
        visit("cached_tokens", value.cachedTokens);
        visit("cross_region", value.crossRegion);
        visit("attempt", value.attempt);
    } else if constexpr (std::is_same_v<Type, QueuedInputs>) {
        visit("expected", value.expected);
        visit("start_deadline_ms", value.startDeadline);
        visit("may_repeat", value.mayRepeat);
        visit("claim_partition", value.claimPartition);
        visit("claim", value.claim);
    } else if constexpr (std::is_same_v<Type, RefusedInputs>) {
        visit("stage", value.stage);
        visit("reason", value.reason);
        visit("outcome", value.outcome);
        visit("retry_after_ms", value.retryAfter);
        visit("expected", value.expected);
        visit("start_deadline_ms", value.startDeadline);
    } else if constexpr (std::is_same_v<Type, DispatchedInputs>) {
        visit("queued_ms", value.queued);
    } else if constexpr (std::is_same_v<Type, CompletedInputs>) {
        visit("status", value.status);
        visit("actual", value.actual);
        visit("answer_bytes", value.answerBytes);
    } else if constexpr (std::is_same_v<Type, AnsweredInputs>) {
        visit("endpoint", value.endpoint);
        visit("status", value.status);
        visit("actual", value.actual);
        visit("answer_bytes", value.answerBytes);
        visit("answer_hash", value.answerHash);
    } else if constexpr (std::is_same_v<Type, CancelledInputs>) {
        visit("word", value.result);
    } else if constexpr (std::is_same_v<Type, ServiceReportedInputs>) {
        visit("served", value.served);
    } else if constexpr (std::is_same_v<Type, OrderInputs>) {
        visit("order", value.order);
        visit("kind", value.kind);
        visit("argument", value.argument);
        visit("scope", value.scope);
        visit("epoch", value.epoch);
        visit("reason", value.reason);
    } else {
        static_assert(std::is_same_v<Type, ProcessStoppedInputs>);
    }
}
} // namespace

template<class Inputs>
Inputs parseInputs(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        Inputs inputs;
        Reader reader {json};
        visitFields(reader, inputs);
        return inputs;
    } catch (const Json::exception &error) {
        throw MalformedInputError(std::string("malformed decision inputs: ") + error.what());
    }
}

#define MIMOSATALLY_DECISION_INPUTS(Inputs) \
    std::string toJson(const Inputs &inputs) \
    { \
        return writeFields(inputs).dump(); \
    } \
    template Inputs parseInputs<Inputs>(const std::string &text);

MIMOSATALLY_DECISION_INPUTS(ProcessStartedInputs)
MIMOSATALLY_DECISION_INPUTS(ConfigurationInputs)
MIMOSATALLY_DECISION_INPUTS(CallerRejectedInputs)
MIMOSATALLY_DECISION_INPUTS(AdmittedInputs)
MIMOSATALLY_DECISION_INPUTS(RoutedInputs)
MIMOSATALLY_DECISION_INPUTS(QueuedInputs)
MIMOSATALLY_DECISION_INPUTS(RefusedInputs)
MIMOSATALLY_DECISION_INPUTS(DispatchedInputs)
MIMOSATALLY_DECISION_INPUTS(CompletedInputs)
MIMOSATALLY_DECISION_INPUTS(AnsweredInputs)
MIMOSATALLY_DECISION_INPUTS(CancelledInputs)
MIMOSATALLY_DECISION_INPUTS(ServiceReportedInputs)
MIMOSATALLY_DECISION_INPUTS(OrderInputs)
MIMOSATALLY_DECISION_INPUTS(ProcessStoppedInputs)

#undef MIMOSATALLY_DECISION_INPUTS

} // namespace mimosatally
