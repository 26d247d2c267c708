#include "decisionlog.h"

namespace mimosatally::internal
{

namespace
{
std::string label(std::string_view name, const std::string &value)
{
    std::string text(name);
    text += "=\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text + '"';
}

Duration timeSinceReceived(const Call &call)
{
    return MilliClock::now() - call.receivedAt;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

DecisionLog::DecisionLog(DecisionChain &chain, AuditShipper &shipper, Metrics &metrics)
    : chain_(chain)
    , shipper_(shipper)
    , metrics_(metrics)
{
}

void DecisionLog::setBasis(DecisionBasis basis)
{
    basis_ = basis;
}

const DecisionBasis &DecisionLog::basis() const
{
    return basis_;
}

void DecisionLog::recordConfigurationApplied(const ConfigurationState &state)
{
    ConfigurationInputs inputs;
    inputs.contracts = state.configuration.contracts;
    inputs.costs = state.configuration.tokenCosts;
    append(DecisionKind::ConfigurationApplied, {}, {}, toJson(inputs));
    metrics_.set("mimosatally_configuration_version", {}, static_cast<double>(state.version.count()));
}

std::string DecisionLog::recordCallerRejected(const RequestId &request, const std::string &reason)
{
    logEvent(LogEvent::CallerRejected, {{"request", request}, {"reason", reason}});
    metrics_.increment("mimosatally_callers_rejected_total");
    return append(DecisionKind::CallerRejected, request, {}, toJson(CallerRejectedInputs {reason}));
}

std::string DecisionLog::recordAdmitted(const Call &call)
{
    AdmittedInputs inputs;
    inputs.model = call.model;
    inputs.service = call.service;
    inputs.expected = {call.promptTokens, call.expectedOutputTokens};
    inputs.mayRepeat = call.mayRepeat;
    inputs.startDeadline = call.startDeadline;
    return append(DecisionKind::Admitted, call.id, call.customer, toJson(inputs));
}

std::string DecisionLog::recordRouted(const Call &call, const RouteDecision &decision, const IncarnationId &agent, int attempt)
{
    RoutedInputs inputs;
    inputs.endpoint = decision.endpoint.value_or(EndpointId());
    inputs.agentIncarnation = agent;
    inputs.reason = decision.reason;
    inputs.predictedWait = decision.predictedWait;
    inputs.cachedTokens = decision.cachedTokens;
    inputs.crossRegion = decision.crossRegion;
    inputs.attempt = attempt;
    logEvent(LogEvent::RequestRouted,
             {{"request", call.id},
              {"customer", call.customer},
              {"endpoint", inputs.endpoint},
              {"reason", decision.reason},
              {"attempt", attempt},
              {"configuration", basis_.version}});
    metrics_.increment("mimosatally_routed_total", label("endpoint", inputs.endpoint.value()));
    return append(DecisionKind::Routed, call.id, call.customer, toJson(inputs));
}

std::string DecisionLog::recordAnswered(const Call &call, const AnswerSummary &answer)
{
    AnsweredInputs inputs;
    inputs.endpoint = answer.endpoint;
    inputs.status = static_cast<int>(answer.status);
    inputs.actual = answer.usage;
    inputs.answerBytes = answer.answerBytes;
    inputs.answerHash = answer.answerHash;
    logEvent(LogEvent::RequestAnswered,
             {{"request", call.id},
              {"customer", call.customer},
              {"endpoint", answer.endpoint.empty() ? std::string("recorded-outcome") : answer.endpoint.value()},
              {"status", answer.status},
              {"output_tokens", answer.usage.output},
              {"configuration", basis_.version}});
    ++customerCounts_[call.customer].answered;
    metrics_.increment("mimosatally_answered_total", label("customer", call.customer.value()));
    metrics_.observe("mimosatally_answer_seconds", {}, seconds(timeSinceReceived(call)));
    return append(DecisionKind::Answered, call.id, call.customer, toJson(inputs));
}

std::string DecisionLog::recordRefused(const RequestId &request, const CustomerId &customer, const CallRefusal &refusal)
{
    RefusedInputs inputs;
    inputs.stage = RefusalStage::Entry;
    inputs.reason = refusal.reason;
    inputs.outcome = outcomeName(refusal);
    inputs.retryAfter = refusal.retryAfter;
    logEvent(LogEvent::RequestRefused,
             {{"request", request},
              {"customer", customer},
              {"reason", refusal.reason},
              {"outcome", inputs.outcome},
              {"retry_after_ms", refusal.retryAfter.value_or(Duration(-1))},
              {"configuration", basis_.version}});
    ++customerCounts_[customer].refused;
    metrics_.increment("mimosatally_refused_total", label("customer", customer.value()) + ',' + label("reason", refusal.reason));
    return append(DecisionKind::Refused, request, customer, toJson(inputs));
}

std::string DecisionLog::recordCancelled(const Call &call, CancelWord progress)
{
    metrics_.increment("mimosatally_cancelled_total", label("customer", call.customer.value()));
    return append(DecisionKind::Cancelled, call.id, call.customer, toJson(CancelledInputs {progress}));
}

const std::map<CustomerId, CustomerCounts> &DecisionLog::customerCounts() const
{
    return customerCounts_;
}

std::string DecisionLog::append(DecisionKind kind, const RequestId &request, const CustomerId &customer, std::string inputs)
{
    Decision decision;
    decision.kind = kind;
    decision.request = request;
    decision.customer = customer;
    decision.version = basis_.version;
    decision.at = MilliClock::now();
    decision.inputs = std::move(inputs);
    decision.unconfirmed = basis_.unconfirmed;
    const Receipt receipt = chain_.append(decision);
    shipper_.recordAppend();
    return basis_.unconfirmed ? toString(receipt) + "/unconfirmed" : toString(receipt);
}

} // namespace mimosatally::internal
