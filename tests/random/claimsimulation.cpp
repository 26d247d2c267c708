#include "claimsimulation.h"

namespace schedules
{

namespace
{
constexpr std::size_t ENTRY_COUNT = 3;
constexpr std::size_t AGENT_COUNT = 2;
constexpr std::size_t KEY_COUNT = 4;
constexpr int PARTITION = 0;
} // namespace

ClaimSimulation::ClaimSimulation(ClaimFault fault)
    : fault_(fault)
    , entries_(ENTRY_COUNT)
    , agents_(AGENT_COUNT)
{
    for (Agent &agent : agents_) {
        startAgent(agent);
    }
}

void ClaimSimulation::startAgent(Agent &agent)
{
    agent.incarnation = IncarnationId("agent-" + std::to_string(&agent - agents_.data()) + '-' + std::to_string(++agent.incarnationNumber));
    agent.gate = std::make_unique<ClaimGate>(agent.incarnation);
    agent.admitted.clear();
    agent.executed.clear();
}

void ClaimSimulation::step(std::uint32_t seed)
{
    Draw draw(seed);
    switch (draw.below(12)) {
    case 0:
        startCall(draw);
        break;
    case 1:
    case 2:
        log_.step(draw);
        break;
    case 3:
    case 4:
        readLog(draw);
        break;
    case 5:
    case 6:
    case 7:
        progressRandomCall(draw);
        break;
    case 8:
    case 9:
        deliver(draw);
        break;
    case 10:
        stepAgent(draw);
        break;
    default:
        injectFault(draw);
    }
}

void ClaimSimulation::startCall(Draw &draw)
{
    const std::size_t index = draw.below(ENTRY_COUNT);
    Entry &entry = entries_[index];
    Agent &agent = agents_[draw.below(AGENT_COUNT)];
    const int number = callCount_++;
    Call call;
    call.id = newId();
    call.key = {CustomerId("customer"), "key-" + std::to_string(draw.below(KEY_COUNT))};
    call.agent = static_cast<std::size_t>(&agent - agents_.data());
    // The entry may know only an old incarnation of the agent.
    const int knownIncarnation = agent.incarnationNumber - (agent.incarnationNumber > 1 && draw.oneIn(4) ? 1 : 0);
    call.target = IncarnationId("agent-" + std::to_string(call.agent) + '-' + std::to_string(knownIncarnation));
    const ClaimRecord record {call.id, call.key, "hash", EndpointId("endpoint"), call.target, ProcessId("entry"), 0};
    const bool isSent = log_.append(toJson(record), [this, index, number, incarnation = entry.incarnation] {
        const auto found = entries_[index].calls.find(number);
        if (entries_[index].incarnation == incarnation && found != entries_[index].calls.end() && found->second.state == CallState::Appending) {
            found->second.state = CallState::Reading;
        }
    });
    if (!isSent) {
        call.state = CallState::Done;
        reportNotRun(call);
    }
    entry.calls.emplace(number, call);
}

void ClaimSimulation::readLog(Draw &draw)
{
    Entry &entry = entries_[draw.below(ENTRY_COUNT)];
    const auto from = static_cast<std::size_t>(entry.table.nextOffset().count());
    if (log_.isDown || entry.paused || from >= log_.records.size()) {
        return;
    }
    const std::size_t end = from + 1 + draw.below(log_.records.size() - from);
    for (std::size_t offset = from; offset < end; ++offset) {
        entry.table.apply(Offset(static_cast<std::int64_t>(offset)), log_.records[offset]);
    }
}

void ClaimSimulation::progressRandomCall(Draw &draw)
{
    const std::size_t index = draw.below(ENTRY_COUNT);
    Entry &entry = entries_[index];
    if (entry.paused || entry.calls.empty()) {
        return;
    }
    auto call = entry.calls.begin();
    std::advance(call, static_cast<std::ptrdiff_t>(draw.below(entry.calls.size())));
    progressCall(entry, index, call->first, call->second, draw);
    if (call->second.state == CallState::Done && !call->second.abandoned) {
        entry.calls.erase(call);
    }
}

void ClaimSimulation::progressCall(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw)
{
    if (call.abandoned && entry.table.verdict(call.id) == ClaimVerdict::Won) {
        call.abandoned = false;
        appendVoid(call.key, *entry.table.offsetOf(call.id));
    }
    switch (call.state) {
    case CallState::Appending:
        if (draw.oneIn(4)) {
            // The entry treats the answer to the append as lost.
            reportNotRun(call);
            call.abandoned = true;
            call.state = hasFault(ClaimFault::SubmitAfterNotRun) ? CallState::Reading : CallState::Done;
        }
        break;
    case CallState::Reading:
        actOnVerdict(entry, entryIndex, number, call, draw);
        break;
    case CallState::Submitted:
        if (hasFault(ClaimFault::NotRunWithoutConfirmation)) {
            reportNotRun(call);
            call.state = CallState::Done;
        } else if (hasFault(ClaimFault::VoidAfterSubmit)) {
            appendVoid(call.key, *entry.table.offsetOf(call.id));
            call.state = CallState::Done;
        } else {
            messages_.push_back({MessageKind::Cancel,
                                 entryIndex,
                                 entry.incarnation,
                                 number,
                                 call.agent,
                                 agents_[call.agent].incarnation,
                                 call.target,
                                 *entry.table.offsetOf(call.id),
                                 call.key});
        }
        break;
    case CallState::Lost:
        cancelWinner(entry, entryIndex, number, call, draw);
        break;
    case CallState::Done:
        break;
    }
}

void ClaimSimulation::actOnVerdict(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw)
{
    switch (entry.table.verdict(call.id)) {
    case ClaimVerdict::Pending:
        break;
    case ClaimVerdict::Won:
        if (draw.oneIn(6)) {
            reportNotRun(call);
            call.abandoned = true;
            call.state = CallState::Done;
        } else {
            submit(entry, entryIndex, number, call);
        }
        break;
    case ClaimVerdict::Lost:
    case ClaimVerdict::LostToOtherBody:
        if (hasFault(ClaimFault::LoserSubmits)) {
            submit(entry, entryIndex, number, call);
        } else {
            call.state = CallState::Lost;
        }
        break;
    case ClaimVerdict::Voided:
        reportNotRun(call);
        call.state = CallState::Done;
        break;
    }
}

void ClaimSimulation::submit(Entry &entry, std::size_t entryIndex, int number, Call &call)
{
    require(!call.submitted, "an entry submits a claim once");
    call.submitted = true;
    call.state = CallState::Submitted;
    messages_.push_back({MessageKind::Submit,
                         entryIndex,
                         entry.incarnation,
                         number,
                         call.agent,
                         agents_[call.agent].incarnation,
                         call.target,
                         *entry.table.offsetOf(call.id),
                         call.key});
}

void ClaimSimulation::cancelWinner(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw)
{
    const auto winner = entry.table.find(call.key);
    if (!winner || winner->outcome || draw.oneIn(4)) {
        call.state = CallState::Done;
        return;
    }
    if (hasFault(ClaimFault::VoidWithoutConfirmation)) {
        appendVoid(call.key, winner->offset);
    }
    for (std::size_t agent = 0; agent < AGENT_COUNT; ++agent) {
        if (winner->claim.agentIncarnation == agents_[agent].incarnation) {
            messages_.push_back({MessageKind::Cancel,
                                 entryIndex,
                                 entry.incarnation,
                                 number,
                                 agent,
                                 agents_[agent].incarnation,
                                 agents_[agent].incarnation,
                                 winner->offset,
                                 call.key});
        }
    }
}

void ClaimSimulation::deliver(Draw &draw)
{
    if (messages_.empty()) {
        return;
    }
    const auto chosen = messages_.begin() + static_cast<std::ptrdiff_t>(draw.below(messages_.size()));
    const Message message = *chosen;
    Agent &agent = agents_[message.agent];
    if (agent.paused) {
        return;
    }
    if (!draw.oneIn(5)) {
        messages_.erase(chosen);
    }
    if (agent.incarnation != message.connectedTo || draw.oneIn(8)) {
        return;
    }
    if (message.kind == MessageKind::Submit) {
        deliverSubmit(message, agent, !draw.oneIn(5));
    } else {
        deliverCancel(message, agent, !draw.oneIn(5));
    }
}

void ClaimSimulation::deliverSubmit(const Message &message, Agent &agent, bool answerArrives)
{
    if (hasFault(ClaimFault::GateLosesState)) {
        agent.gate = std::make_unique<ClaimGate>(agent.incarnation);
    }
    const IncarnationId targetIncarnation = hasFault(ClaimFault::GateIgnoresIncarnation) ? agent.incarnation : message.targetIncarnation;
    const ClaimAdmission admission = agent.gate->admit(PARTITION, message.claim, targetIncarnation);
    if (admission == ClaimAdmission::Run) {
        agent.admitted.emplace_back(message.claim, message.key);
        return;
    }
    Call *call = findCall(message);
    if (!answerArrives || !call || call->state != CallState::Submitted) {
        return;
    }
    call->state = CallState::Done;
    if (admission != ClaimAdmission::AlreadyRun) {
        reportNotRun(*call);
        // The only submit of the claim was refused, so it never runs.
        call->abandoned = true;
    }
}

void ClaimSimulation::deliverCancel(const Message &message, Agent &agent, bool answerArrives)
{
    const bool isRenounced = message.targetIncarnation == agent.incarnation && agent.gate->renounce(PARTITION, message.claim);
    Call *call = findCall(message);
    if (!isRenounced || !answerArrives || !call) {
        return;
    }
    appendVoid(message.key, message.claim);
    if (call->state == CallState::Submitted) {
        reportNotRun(*call);
    }
    call->state = CallState::Done;
}

void ClaimSimulation::stepAgent(Draw &draw)
{
    Agent &agent = agents_[draw.below(AGENT_COUNT)];
    if (agent.paused) {
        return;
    }
    if (!agent.admitted.empty()) {
        const auto [claim, key] = agent.admitted.back();
        agent.admitted.pop_back();
        execute(claim, key);
        agent.executed.emplace_back(claim, key);
    } else if (!agent.executed.empty()) {
        const auto [claim, key] = agent.executed.back();
        if (log_.append(toJson(OutcomeRecord {newId(), key, claim, 200, "text/plain", "done", "hash"}), [] {})) {
            agent.executed.pop_back();
        }
    }
}

void ClaimSimulation::injectFault(Draw &draw)
{
    Entry &entry = entries_[draw.below(ENTRY_COUNT)];
    Agent &agent = agents_[draw.below(AGENT_COUNT)];
    // Faults are rare enough that calls complete between them.
    switch (draw.below(16)) {
    case 0:
        startAgent(agent);
        break;
    case 1:
        entry.table = ClaimTable();
        entry.calls.clear();
        ++entry.incarnation;
        break;
    case 2:
        entry.paused = true;
        break;
    case 3:
        agent.paused = true;
        break;
    case 4:
        log_.isDown = true;
        break;
    default:
        entry.paused = false;
        agent.paused = false;
        log_.isDown = false;
    }
}

void ClaimSimulation::appendVoid(const ClaimKey &key, Offset claim)
{
    log_.append(toJson(VoidRecord {newId(), key, claim}), [] {});
}

void ClaimSimulation::reportNotRun(Call &call)
{
    reportedNotRun_.insert(call.id);
    for (const Offset claim : executedClaims_) {
        const auto record = std::get<ClaimRecord>(parseClaimStreamRecord(log_.records[static_cast<std::size_t>(claim.count())]));
        require(record.id != call.id, "a call that ran is not reported as not run");
    }
}

void ClaimSimulation::execute(Offset claim, const ClaimKey &key)
{
    require(executedClaims_.insert(claim).second, "a claim runs at most once");
    require(++executionsByKey_[key] <= 1, "the call of a key runs at most once");
    const auto record = std::get<ClaimRecord>(parseClaimStreamRecord(log_.records[static_cast<std::size_t>(claim.count())]));
    require(!reportedNotRun_.contains(record.id), "a call that was reported as not run never runs");
}

ClaimSimulation::Call *ClaimSimulation::findCall(const Message &message)
{
    Entry &entry = entries_[message.entry];
    const auto found = entry.calls.find(message.call);
    return entry.incarnation == message.entryIncarnation && found != entry.calls.end() ? &found->second : nullptr;
}

RecordId ClaimSimulation::newId()
{
    return RecordId("record-" + std::to_string(idCount_++));
}

void ClaimSimulation::finish()
{
    ClaimTable reference;
    for (std::size_t offset = 0; offset < log_.records.size(); ++offset) {
        reference.apply(Offset(static_cast<std::int64_t>(offset)), log_.records[offset]);
    }
    require(reference.contradictions() == 0, "no outcome and void contradict each other");
    for (Entry &entry : entries_) {
        for (std::size_t offset = 0; offset < log_.records.size(); ++offset) {
            entry.table.apply(Offset(static_cast<std::int64_t>(offset)), log_.records[offset]);
        }
        for (std::size_t key = 0; key < KEY_COUNT; ++key) {
            const ClaimKey claimKey {CustomerId("customer"), "key-" + std::to_string(key)};
            const auto own = entry.table.find(claimKey);
            const auto other = reference.find(claimKey);
            require(own.has_value() == other.has_value() && (!own || own->offset == other->offset), "readers of the same records agree");
        }
    }
}

} // namespace schedules
