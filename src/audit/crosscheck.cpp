#include "audit/crosscheck.h"

namespace mimosatally::internal
{

Finding CrossCheck::Place::finding(const std::string &message) const
{
    return chain->finding(sequence, message);
}

void CrossCheck::add(const AuditChain &chain)
{
    for (const auto &[sequence, record] : chain.records()) {
        const Place place {&chain, sequence};
        try {
            note(place, record.decision);
        } catch (const MalformedInputError &error) {
            findings_.push_back(place.finding(error.what()));
        }
    }
}

void CrossCheck::note(const Place &place, const Decision &decision)
{
    switch (decision.kind) {
    case DecisionKind::ConfigurationApplied:
        noteConfiguration(place, decision);
        break;
    case DecisionKind::Queued: {
        const auto inputs = parseInputs<QueuedInputs>(decision.inputs);
        if (!inputs.mayRepeat) {
            queuedClaims_.insert_or_assign({place.chain, decision.request}, Claim(inputs.claimPartition, inputs.claim));
        }
        break;
    }
    case DecisionKind::Dispatched:
        noteDispatch(place, decision);
        break;
    case DecisionKind::Refused: {
        // An agent's refusal covers the refused attempt only; the entry's covers the request.
        const auto inputs = parseInputs<RefusedInputs>(decision.inputs);
        if (inputs.stage == RefusalStage::Entry && inputs.outcome == "not_run") {
            refusedAsNotRun_.emplace(decision.request, place);
        }
        break;
    }
    default:
        break;
    }
}

void CrossCheck::noteConfiguration(const Place &place, const Decision &decision)
{
    auto inputs = parseInputs<ConfigurationInputs>(decision.inputs);
    inputs.capacity.reset();
    inputs.endpoint = EndpointId();
    const auto [known, isNew] = configurations_.try_emplace(decision.version, toJson(inputs));
    if (!isNew && known->second != toJson(inputs)) {
        findings_.push_back(place.finding("another process recorded other contracts for this configuration version"));
    }
}

void CrossCheck::noteDispatch(const Place &place, const Decision &decision)
{
    dispatched_.emplace(decision.request, place);
    const auto claim = queuedClaims_.find({place.chain, decision.request});
    if (claim == queuedClaims_.end()) {
        return;
    }
    const auto [first, isNew] = dispatchedClaims_.try_emplace(claim->second, place);
    if (!isNew) {
        findings_.push_back(
            place.finding("the claim of request " + decision.request.value() + " was dispatched before, see " + toString(first->second.finding("dispatch"))));
    }
}

void CrossCheck::check(AuditReport &report) const
{
    report.findings.insert(report.findings.end(), findings_.begin(), findings_.end());
    for (const auto &[request, place] : refusedAsNotRun_) {
        const auto dispatch = dispatched_.find(request);
        if (dispatch != dispatched_.end()) {
            report.findings.push_back(place.finding("request " + request.value() + " was refused as not run, but it was dispatched, see "
                                                    + toString(dispatch->second.finding("dispatch"))));
        }
    }
}

} // namespace mimosatally::internal
