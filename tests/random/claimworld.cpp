#include "claimworld.h"

namespace schedules
{

namespace
{
constexpr std::size_t ENTRIES = 3;
constexpr std::size_t AGENTS = 2;
constexpr std::size_t KEYS = 4;
constexpr int PARTITION = 0;
} // namespace

ClaimWorld::ClaimWorld(ClaimFault fault)
    : fault_(fault)
    , entries_(ENTRIES)
    , agents_(AGENTS)
{
    for (Agent &agent : agents_) {
        startAgent(agent);
    }
}

void ClaimWorld::startAgent(Agent &agent)
{
    agent.incarnation = IncarnationId("agent-" + std::to_string(&agent - agents_.data()) + '-' + std::to_string(++agent.number));
    agent.gate = std::make_unique<ClaimGate>(agent.incarnation);
    agent.admitted.clear();
    agent.executed.clear();
}

void ClaimWorld::step(std::uint32_t number)
{
    Draw draw(number);
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
        progress(draw);
        break;
    case 8:
    case 9:
        deliver(draw);
        break;
    case 10:
        work(draw);
        break;
    default:
        disturb(draw);
    }
}

void ClaimWorld::startCall(Draw &draw)
{
    const std::size_t index = draw.below(ENTRIES);
    Entry &entry = entries_[index];
    Agent &agent = agents_[draw.below(AGENTS)];
    const int number = calls_++;
    Call call;
    call.id = newId();
    call.key = {CustomerId("customer"), "key-" + std::to_string(draw.below(KEYS))};
    call.agent = static_cast<std::size_t>(&agent - agents_.data());
    // The entry may know an old incarnation only.
    const int known = agent.number - (agent.number > 1 && draw.oneIn(4) ? 1 : 0);
    call.target = IncarnationId("agent-" + std::to_string(call.agent) + '-' + std::to_string(known));
    const ClaimRecord record {call.id, call.key, "hash", EndpointId("endpoint"), call.target, ProcessId("entry"), 0};
    const bool sent = log_.append(toJson(record), [this, index, number, incarnation = entry.incarnation] {
        const auto found = entries_[index].calls.find(number);
        if (entries_[index].incarnation == incarnation && found != entries_[index].calls.end() && found->second.state == CallState::Appending) {
            found->second.state = CallState::Reading;
        }
    });
    if (!sent) {
        call.state = CallState::Done;
        sayNotRun(call);
    }
    entry.calls.emplace(number, call);
}

void ClaimWorld::readLog(Draw &draw)
{
    Entry &entry = entries_[draw.below(ENTRIES)];
    const auto from = static_cast<std::size_t>(entry.table.nextOffset().count());
    if (log_.isDown || entry.paused || from >= log_.records.size()) {
        return;
    }
    const std::size_t end = from + 1 + draw.below(log_.records.size() - from);
    for (std::size_t offset = from; offset < end; ++offset) {
        entry.table.apply(Offset(static_cast<std::int64_t>(offset)), log_.records[offset]);
    }
}

void ClaimWorld::progress(Draw &draw)
{
    const std::size_t index = draw.below(ENTRIES);
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

void ClaimWorld::progressCall(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw)
{
    if (call.abandoned && entry.table.verdict(call.id) == ClaimVerdict::Won) {
        call.abandoned = false;
        appendVoid(call.key, *entry.table.offsetOf(call.id));
    }
    switch (call.state) {
    case CallState::Appending:
        if (draw.oneIn(4)) {
            // The answer of the append is taken to be lost.
            sayNotRun(call);
            call.abandoned = true;
            call.state = faulty(ClaimFault::SubmitAfterNotRun) ? CallState::Reading : CallState::Done;
        }
        break;
    case CallState::Reading:
        decide(entry, entryIndex, number, call, draw);
        break;
    case CallState::Submitted:
        if (faulty(ClaimFault::NotRunWithoutWord)) {
            sayNotRun(call);
            call.state = CallState::Done;
        } else if (faulty(ClaimFault::VoidAfterSubmit)) {
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
    case CallState::Losing:
        lose(entry, entryIndex, number, call, draw);
        break;
    case CallState::Done:
        break;
    }
}

void ClaimWorld::decide(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw)
{
    switch (entry.table.verdict(call.id)) {
    case ClaimVerdict::Pending:
        break;
    case ClaimVerdict::Won:
        if (draw.oneIn(6)) {
            sayNotRun(call);
            call.abandoned = true;
            call.state = CallState::Done;
        } else {
            submit(entry, entryIndex, number, call);
        }
        break;
    case ClaimVerdict::Lost:
    case ClaimVerdict::LostToOtherBody:
        if (faulty(ClaimFault::LoserSubmits)) {
            submit(entry, entryIndex, number, call);
        } else {
            call.state = CallState::Losing;
        }
        break;
    case ClaimVerdict::Voided:
        sayNotRun(call);
        call.state = CallState::Done;
        break;
    }
}

void ClaimWorld::submit(Entry &entry, std::size_t entryIndex, int number, Call &call)
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

void ClaimWorld::lose(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw)
{
    const auto winner = entry.table.find(call.key);
    if (!winner || winner->outcome || draw.oneIn(4)) {
        call.state = CallState::Done;
        return;
    }
    if (faulty(ClaimFault::VoidWithoutWord)) {
        appendVoid(call.key, winner->offset);
    }
    for (std::size_t agent = 0; agent < AGENTS; ++agent) {
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

void ClaimWorld::deliver(Draw &draw)
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
    if (agent.incarnation != message.connection || draw.oneIn(8)) {
        return;
    }
    if (message.kind == MessageKind::Submit) {
        deliverSubmit(message, agent, !draw.oneIn(5));
    } else {
        deliverCancel(message, agent, !draw.oneIn(5));
    }
}

void ClaimWorld::deliverSubmit(const Message &message, Agent &agent, bool answerArrives)
{
    if (faulty(ClaimFault::GateForgets)) {
        agent.gate = std::make_unique<ClaimGate>(agent.incarnation);
    }
    const IncarnationId targetIncarnation = faulty(ClaimFault::GateIgnoresIncarnation) ? agent.incarnation : message.targetIncarnation;
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
        sayNotRun(*call);
        // The only submit of the claim was refused, so it never runs.
        call->abandoned = true;
    }
}

void ClaimWorld::deliverCancel(const Message &message, Agent &agent, bool answerArrives)
{
    const bool givesWord = message.targetIncarnation == agent.incarnation && agent.gate->renounce(PARTITION, message.claim);
    Call *call = findCall(message);
    if (!givesWord || !answerArrives || !call) {
        return;
    }
    appendVoid(message.key, message.claim);
    if (call->state == CallState::Submitted) {
        sayNotRun(*call);
    }
    call->state = CallState::Done;
}

void ClaimWorld::work(Draw &draw)
{
    Agent &agent = agents_[draw.below(AGENTS)];
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

void ClaimWorld::disturb(Draw &draw)
{
    Entry &entry = entries_[draw.below(ENTRIES)];
    Agent &agent = agents_[draw.below(AGENTS)];
    // Disturbances are rare enough that calls get through between them.
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

void ClaimWorld::appendVoid(const ClaimKey &key, Offset claim)
{
    log_.append(toJson(VoidRecord {newId(), key, claim}), [] {});
}

void ClaimWorld::sayNotRun(Call &call)
{
    saidNotRun_.insert(call.id);
    for (const Offset claim : executedClaims_) {
        const auto record = std::get<ClaimRecord>(parseClaimStreamRecord(log_.records[static_cast<std::size_t>(claim.count())]));
        require(record.id != call.id, "a call that ran is not reported as not run");
    }
}

void ClaimWorld::execute(Offset claim, const ClaimKey &key)
{
    require(executedClaims_.insert(claim).second, "a claim runs at most once");
    require(++executionsOfKey_[key] <= 1, "the call of a key runs at most once");
    const auto record = std::get<ClaimRecord>(parseClaimStreamRecord(log_.records[static_cast<std::size_t>(claim.count())]));
    require(!saidNotRun_.contains(record.id), "a call that was reported as not run never runs");
}

ClaimWorld::Call *ClaimWorld::findCall(const Message &message)
{
    Entry &entry = entries_[message.entry];
    const auto found = entry.calls.find(message.call);
    return entry.incarnation == message.entryIncarnation && found != entry.calls.end() ? &found->second : nullptr;
}

RecordId ClaimWorld::newId()
{
    return RecordId("record-" + std::to_string(ids_++));
}

void ClaimWorld::finish()
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
        for (std::size_t key = 0; key < KEYS; ++key) {
            const ClaimKey claimKey {CustomerId("customer"), "key-" + std::to_string(key)};
            const auto own = entry.table.find(claimKey);
            const auto other = reference.find(claimKey);
            require(own.has_value() == other.has_value() && (!own || own->offset == other->offset), "readers of the same records agree");
        }
    }
}

} // namespace schedules
