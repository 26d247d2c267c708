#include "audit/crosscheck.h"

namespace mimosatally::internal
{

Finding CrossCheck::RecordPosition::finding(const std::string &message) const
{
    return chain->finding(sequence, message);
}

void CrossCheck::add(const AuditChain &chain)
{
    for (const auto &[sequence, record] : chain.records()) {
        const RecordPosition position {&chain, sequence};
        try {
            addDecision(position, record.decision);
        } catch (const MalformedInputError &error) {
            findings_.push_back(position.finding(error.what()));
        }
    }
}

void CrossCheck::addDecision(const RecordPosition &position, const Decision &decision)
{
    switch (decision.kind) {
    case DecisionKind::ConfigurationApplied:
        addConfiguration(position, decision);
        break;
    case DecisionKind::Queued: {
        const auto inputs = parseInputs<QueuedInputs>(decision.inputs);
        if (!inputs.mayRepeat) {
            queuedClaims_.insert_or_assign({position.chain, decision.request}, Claim(inputs.claimPartition, inputs.claim));
        }
        break;
    }
    case DecisionKind::Dispatched:
        addDispatch(position, decision);
        break;
    case DecisionKind::Refused: {
        // An agent's refusal applies to one attempt, an entry's refusal to the whole request.
        const auto inputs = parseInputs<RefusedInputs>(decision.inputs);
        if (inputs.stage == RefusalStage::Entry && inputs.outcome == "not_run") {
            refusedAsNotRun_.emplace(decision.request, position);
        }
        break;
    }
    default:
        break;
    }
}

void CrossCheck::addConfiguration(const RecordPosition &position, const Decision &decision)
{
    auto inputs = parseInputs<ConfigurationInputs>(decision.inputs);
    inputs.capacity.reset();
    inputs.endpoint = EndpointId();
    const auto [known, isNew] = configurations_.try_emplace(decision.version, toJson(inputs));
    if (!isNew && known->second != toJson(inputs)) {
        findings_.push_back(position.finding("another process recorded other contracts for this configuration version"));
    }
}

void CrossCheck::addDispatch(const RecordPosition &position, const Decision &decision)
{
    dispatched_.emplace(decision.request, position);
    const auto claim = queuedClaims_.find({position.chain, decision.request});
    if (claim == queuedClaims_.end()) {
        return;
    }
    const auto [first, isNew] = dispatchedClaims_.try_emplace(claim->second, position);
    if (!isNew) {
        findings_.push_back(position.finding("the claim of request " + decision.request.value() + " was dispatched before, see "
                                             + toString(first->second.finding("dispatch"))));
    }
}

void CrossCheck::check(AuditReport &report) const
{
    report.findings.insert(report.findings.end(), findings_.begin(), findings_.end());
    for (const auto &[request, position] : refusedAsNotRun_) {
        const auto dispatch = dispatched_.find(request);
        if (dispatch != dispatched_.end()) {
            report.findings.push_back(position.finding("request " + request.value() + " was refused as not run, but it was dispatched, see "
                                                       + toString(dispatch->second.finding("dispatch"))));
        }
    }
}

} // namespace mimosatally::internal
