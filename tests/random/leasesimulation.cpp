#include "leasesimulation.h"

namespace schedules
{

namespace
{
constexpr std::size_t ENTRY_COUNT = 3;
const LeaseScope SCOPE("role/model/region");
constexpr Duration TTL(3000);
constexpr Duration LIFETIME(1000);
/// \brief Rates of the clocks in percent of real time; they deviate far more than those of real clocks.
constexpr std::int64_t CLOCK_RATES[] = {50, 100, 200, 130};
} // namespace

LeaseSimulation::LeaseSimulation(LeaseFault fault, bool checksFencing)
    : fault_(fault)
    , checksFencing_(checksFencing)
    , entries_(ENTRY_COUNT)
    , agentClock_ {7000, CLOCK_RATES[ENTRY_COUNT]}
{
    for (std::size_t index = 0; index < ENTRY_COUNT; ++index) {
        entries_[index].clock = {static_cast<std::int64_t>(index) * 50000, CLOCK_RATES[index]};
        startEntry(index);
    }
    startAgent();
}

Time LeaseSimulation::now(const Clock &clock) const
{
    return Time(Duration(clock.offset + realTime_ * clock.rate / 100));
}

void LeaseSimulation::startEntry(std::size_t index)
{
    Entry &entry = entries_[index];
    entry.incarnation = IncarnationId("entry-" + std::to_string(index) + '-' + std::to_string(++entry.incarnationNumber));
    entry.holder = std::make_unique<LeaseHolder>(SCOPE, ProcessId("entry-" + std::to_string(index)), entry.incarnation, TTL);
    entry.lastHeld.reset();
    entry.lastForeignRecord.reset();
    entry.appendTimes.clear();
    entry.table = LeaseTable();
    entry.paused = false;
}

void LeaseSimulation::startAgent()
{
    agentIncarnation_ = IncarnationId("agent-" + std::to_string(++agentIncarnationNumber_));
    gate_ = std::make_unique<OrderGate>(agentIncarnation_, std::set<LeaseScope> {SCOPE}, now(agentClock_), LIFETIME);
    readStart_.reset();
    agentPaused_ = false;
}

void LeaseSimulation::step(std::uint32_t seed)
{
    Draw draw(seed);
    switch (draw.below(13)) {
    case 0:
        realTime_ += static_cast<std::int64_t>(draw.below(draw.oneIn(6) ? 6000 : 400));
        break;
    case 1:
    case 2:
        log_.step(draw);
        break;
    case 3:
    case 4:
        pollLog(draw);
        break;
    case 5:
    case 6:
        sendOrder(draw);
        break;
    case 7:
        deliver(draw);
        break;
    case 8:
    case 9:
        authorizeOrder(draw);
        break;
    case 10:
        stepEndpoint(draw);
        break;
    case 11:
        readBack(draw);
        break;
    default:
        injectFault(draw);
    }
    expireWrites();
}

void LeaseSimulation::pollLog(Draw &draw)
{
    const std::size_t index = draw.below(ENTRY_COUNT);
    Entry &entry = entries_[index];
    if (entry.paused) {
        return;
    }
    perform(index, entry.holder->tick(now(entry.clock)));
    if (log_.isDown) {
        return;
    }
    const Time start = now(entry.clock);
    for (auto offset = static_cast<std::size_t>(entry.holder->nextOffset().count()); offset < log_.records.size(); ++offset) {
        const Offset recordOffset(static_cast<std::int64_t>(offset));
        if (entry.table.apply(recordOffset, log_.records[offset]) && !entry.appendTimes.contains(log_.records[offset])) {
            entry.lastForeignRecord = start;
        }
        perform(index, entry.holder->apply(recordOffset, log_.records[offset], start));
    }
    // The answer takes time to arrive.
    realTime_ += static_cast<std::int64_t>(draw.below(200));
    perform(index, entry.holder->endOfStream(start, now(entry.clock)));
}

void LeaseSimulation::perform(std::size_t index, const std::vector<LeaseAction> &actions)
{
    Entry &entry = entries_[index];
    for (const LeaseAction &action : actions) {
        if (action.kind == LeaseActionKind::Held) {
            entry.lastHeld = action.epoch;
        } else if (action.kind == LeaseActionKind::AppendAcquire || action.kind == LeaseActionKind::AppendRenew) {
            if (action.kind == LeaseActionKind::AppendAcquire) {
                checkAcquire(entry);
            }
            entry.appendTimes[action.payload] = now(entry.clock);
            log_.append(action.payload, [] {});
        }
    }
}

void LeaseSimulation::checkAcquire(const Entry &entry) const
{
    const auto lease = entry.table.find(SCOPE);
    require(!lease || lease->incarnation == entry.incarnation || (entry.lastForeignRecord && now(entry.clock) - *entry.lastForeignRecord >= TTL),
            "a contender acquires only after a ttl without a record of the holder");
}

void LeaseSimulation::sendOrder(Draw &draw)
{
    Entry &entry = entries_[draw.below(ENTRY_COUNT)];
    const auto epoch = hasFault(LeaseFault::ExpiryIgnored) ? entry.lastHeld : entry.holder->epoch(now(entry.clock));
    if (entry.paused || !epoch) {
        return;
    }
    checkHeld(entry, *epoch);
    // The entry may know only an old incarnation of the agent.
    const int knownIncarnation = agentIncarnationNumber_ - (agentIncarnationNumber_ > 1 && draw.oneIn(5) ? 1 : 0);
    orders_.push_back({OrderId("order-" + std::to_string(idCount_++)),
                       OrderKind::ChangeRole,
                       "prefill",
                       SCOPE,
                       *epoch,
                       IncarnationId("agent-" + std::to_string(knownIncarnation)),
                       LIFETIME});
}

void LeaseSimulation::checkHeld(const Entry &entry, Epoch epoch) const
{
    bool isHeld = false;
    for (std::size_t offset = 0; offset < log_.records.size(); ++offset) {
        const auto appendTime = entry.appendTimes.find(log_.records[offset]);
        if (appendTime == entry.appendTimes.end() || now(entry.clock) >= appendTime->second + TTL) {
            continue;
        }
        const LeaseRecord record = parseLeaseRecord(log_.records[offset]);
        const auto *renewed = std::get_if<RenewRecord>(&record);
        isHeld = isHeld || (renewed ? renewed->epoch == epoch : Epoch(static_cast<std::int64_t>(offset)) == epoch);
    }
    require(isHeld, "an order is sent within a ttl of an append that holds its epoch");
}

void LeaseSimulation::deliver(Draw &draw)
{
    if (orders_.empty() || agentPaused_) {
        return;
    }
    const auto chosen = orders_.begin() + static_cast<std::ptrdiff_t>(draw.below(orders_.size()));
    Order order = *chosen;
    if (!draw.oneIn(4)) {
        orders_.erase(chosen);
    }
    if (hasFault(LeaseFault::IncarnationIgnored)) {
        order.agentIncarnation = agentIncarnation_;
    }
    if (hasFault(LeaseFault::GateLosesState) && gate_->state() != OrderGateState::AuthorityPending) {
        gate_ = std::make_unique<OrderGate>(agentIncarnation_, std::set<LeaseScope> {SCOPE}, now(agentClock_) - LIFETIME, LIFETIME);
        gate_->finishReadBack(now(agentClock_));
    }
    if (draw.oneIn(8)) {
        return;
    }
    if (!gate_->receive(order, now(agentClock_))) {
        newestAtReceipt_ = newestEpoch();
        readStart_.reset();
    }
}

Epoch LeaseSimulation::newestEpoch() const
{
    LeaseTable table;
    for (std::size_t offset = 0; offset < log_.records.size(); ++offset) {
        table.apply(Offset(static_cast<std::int64_t>(offset)), log_.records[offset]);
    }
    const auto lease = table.find(SCOPE);
    return lease ? lease->epoch : Epoch(-1);
}

void LeaseSimulation::authorizeOrder(Draw &draw)
{
    if (agentPaused_ || gate_->state() != OrderGateState::AuthorityPending) {
        return;
    }
    if (log_.isDown) {
        gate_->abandon(gate_->current()->id);
        return;
    }
    const Time start = now(agentClock_);
    if (!hasFault(LeaseFault::AuthorityReadSkipped) || draw.oneIn(4)) {
        for (auto offset = static_cast<std::size_t>(gate_->nextOffset().count()); offset < log_.records.size(); ++offset) {
            gate_->apply(Offset(static_cast<std::int64_t>(offset)), log_.records[offset]);
        }
    }
    realTime_ += static_cast<std::int64_t>(draw.below(300));
    const Order order = *gate_->current();
    if (!gate_->authorize(order.id, start, now(agentClock_))) {
        startWrite(order);
    }
}

void LeaseSimulation::startWrite(const Order &order)
{
    expireWrites();
    require(order.epoch >= newestAtReceipt_, "no order of a holder that had lost the lease when the agent received it");
    require(writes_.empty(), "no write starts while an earlier one can still take effect");
    const std::int64_t lifetime = gate_->remainingLifetime(now(agentClock_)).count() * 100 / agentClock_.rate;
    writes_.push_back({order, realTime_ + (hasFault(LeaseFault::WriteOutlivesOrder) ? 10 * lifetime : lifetime), agentIncarnationNumber_});
}

void LeaseSimulation::expireWrites()
{
    std::erase_if(writes_, [&](const Write &write) {
        return realTime_ >= write.deadline;
    });
}

void LeaseSimulation::stepEndpoint(Draw &draw)
{
    expireWrites();
    if (writes_.empty()) {
        if (!agentPaused_) {
            gate_->finishWrite(false, now(agentClock_));
        }
        return;
    }
    const Write write = writes_.front();
    if (draw.oneIn(3)) {
        // The agent stops waiting, for example because the connection was closed; the write can still take effect.
        gate_->finishWrite(false, now(agentClock_));
        return;
    }
    writes_.erase(writes_.begin());
    if (!checksFencing_ || write.order.epoch >= fencingToken_) {
        fencingToken_ = write.order.epoch;
        takeEffect(write.order);
    }
    if (write.agentIncarnationNumber == agentIncarnationNumber_ && !agentPaused_) {
        gate_->finishWrite(!draw.oneIn(3), now(agentClock_));
    }
}

void LeaseSimulation::takeEffect(const Order &order)
{
    require(order.epoch >= lastEffectEpoch_, "no order takes effect after one with a newer epoch");
    lastEffectEpoch_ = order.epoch;
    require(executedOrders_.insert(order.id).second, "an order takes effect at most once");
}

void LeaseSimulation::readBack(Draw &draw)
{
    if (agentPaused_) {
        return;
    }
    if (hasFault(LeaseFault::ReadBackSkipped) || hasFault(LeaseFault::ReadBackTooEarly)) {
        // ReadBackSkipped: succeeds at any time. ReadBackTooEarly: ignores the lifetime of the previous order.
        gate_->finishReadBack(now(agentClock_) + (hasFault(LeaseFault::ReadBackTooEarly) ? LIFETIME : 100 * LIFETIME));
        return;
    }
    if (!readStart_) {
        readStart_ = now(agentClock_);
    }
    realTime_ += static_cast<std::int64_t>(draw.below(100));
    if (gate_->finishReadBack(*readStart_) || draw.oneIn(2)) {
        readStart_.reset();
    }
}

void LeaseSimulation::injectFault(Draw &draw)
{
    const std::size_t index = draw.below(ENTRY_COUNT);
    switch (draw.below(20)) {
    case 0:
        startEntry(index);
        break;
    case 1:
        entries_[index].paused = true;
        break;
    case 2:
        agentPaused_ = true;
        break;
    case 3:
        startAgent();
        break;
    case 4:
        log_.isDown = true;
        break;
    case 5:
        // The endpoint crashes in the middle of a change.
        writes_.clear();
        fencingToken_ = Epoch(-1);
        gate_->handleEndpointRestart(now(agentClock_));
        break;
    default:
        entries_[index].paused = false;
        agentPaused_ = false;
        log_.isDown = false;
    }
}

} // namespace schedules
