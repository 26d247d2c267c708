#include <mimosatally/placement/roleplanner.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosatally
{

namespace
{
/// \brief Age above which input is stale: three of the exchanges that carry it, which are one second apart.
constexpr Duration MAX_INPUT_AGE = Duration(3000);
/// \brief Time constant of the smoothed demand: long compared to single requests, short compared to swings within minutes.
constexpr double SMOOTHING_SECONDS = 5.0;
/// \brief Time that a change must remain the best one before it is planned, so that a burst does not trigger it.
constexpr Duration CONFIRMATION_TIME = Duration(5000);
/// \brief Longest time between calls of plan() that does not restart the confirmation.
constexpr Duration MAX_PLAN_INTERVAL = Duration(2500);
/// \brief Minimum time that an engine keeps its role, as a multiple of the change time.
constexpr int COOLDOWN_FACTOR = 4;
/// \brief Timeout of a change as a multiple of the change time; after it the change counts as failed and another one may start.
constexpr int TIMEOUT_FACTOR = 6;
/// \brief Servable fraction of the demand from which on no role is changed; capacity above it counts as no gain.
constexpr double SUFFICIENT_FRACTION = 1.0;
/// \brief Changes of an engine per swing of the mix of demand: to one phase and back. A mixed engine serves every mix and needs no change back.
constexpr int CHANGES_PER_SWING = 2;
/// \brief Time until the next swing is detected (smoothing and confirmation), during which a single-phase engine has the wrong role.
constexpr double SWING_DETECTION_SECONDS = 10;
constexpr double MAX_SERVABLE_FRACTION = 8.0;
constexpr int BISECTION_STEPS = 24;
/// \brief Roles in descending order of prefill speed.
constexpr std::array<EngineRole, 3> PREFILL_FIRST = {EngineRole::Prefill, EngineRole::Mixed, EngineRole::Decode};
constexpr std::array<EngineRole, 3> ROLES = {EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed};

double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}
} // namespace

double &RolePlanner::Counts::of(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return prefill;
    case EngineRole::Decode:
        return decode;
    case EngineRole::Mixed:
        break;
    }
    return mixed;
}

RolePlanner::RolePlanner(RolePolicy policy, RoleSpeeds speeds, Duration changeTime, Duration horizon)
    : policy_(policy)
    , speeds_(speeds)
    , changeTime_(changeTime)
    , horizon_(horizon)
{
}

void RolePlanner::reportEngine(const EngineStatus &status, Time now)
{
    Engine &engine = engines_[status.engine];
    engine.status = status;
    engine.reportedAt = now;
    if (pending_ && pending_->engine == status.engine && status.available && status.role == pending_->role) {
        engine.changedAt = now;
        pending_.reset();
    }
}

void RolePlanner::removeEngine(const EndpointId &engine)
{
    engines_.erase(engine);
    if (pending_ && pending_->engine == engine) {
        pending_.reset();
    }
}

void DemandReport::addArrival(const PhaseWork &request, std::int64_t prefillTokensPerSecond, std::int64_t decodeTokensPerSecond)
{
    const auto addRequest = [&](PhaseWork &work) {
        work.uncachedPrompt += request.uncachedPrompt;
        work.output += request.output;
    };
    addRequest(arrived);
    if (!prefillHeavy) {
        prefillHeavy.emplace();
    }
    const std::int64_t prefill = request.uncachedPrompt.count() * decodeTokensPerSecond;
    const std::int64_t decode = request.output.count() * prefillTokensPerSecond;
    if (prefill > decode) {
        addRequest(*prefillHeavy);
    }
}

void RolePlanner::reportDemand(const DemandReport &demand, Time now)
{
    const double seconds = demandReportedAt_ ? toSeconds(now - *demandReportedAt_) : 0;
    demandReportedAt_ = now;
    waiting_ = demand.waiting;
    if (seconds <= 0 || engines_.empty()) {
        return;
    }
    const PhaseWork prefillHeavy = demand.prefillHeavy.value_or(demand.arrived);
    smooth(smoothedDemand_.prefillHeavy, prefillHeavy, seconds);
    smooth(smoothedDemand_.decodeHeavy, {demand.arrived.uncachedPrompt - prefillHeavy.uncachedPrompt, demand.arrived.output - prefillHeavy.output}, seconds);
}

RolePlanner::Demand RolePlanner::demandOverHorizon() const
{
    Demand demand = smoothedDemand_;
    const double prefill = smoothedDemand_.prefillHeavy.prefill + smoothedDemand_.decodeHeavy.prefill;
    const double decode = smoothedDemand_.prefillHeavy.decode + smoothedDemand_.decodeHeavy.decode;
    const ClassDemand waiting = engineSeconds(waiting_, toSeconds(horizon_));
    // The classes of the waiting requests are not reported; they are assumed to be distributed as among the arrivals.
    const double prefillFactor = prefill > 0 ? 1 + waiting.prefill / prefill : 1;
    const double decodeFactor = decode > 0 ? 1 + waiting.decode / decode : 1;
    for (ClassDemand *classDemand : {&demand.prefillHeavy, &demand.decodeHeavy}) {
        classDemand->prefill *= prefillFactor;
        classDemand->decode *= decodeFactor;
    }
    return demand;
}

RolePlanner::ClassDemand RolePlanner::engineSeconds(const PhaseWork &work, double seconds) const
{
    if (engines_.empty()) {
        return {};
    }
    const EngineStatus &engine = engines_.begin()->second.status;
    const auto prefillSpeed = static_cast<double>(std::max<std::int64_t>(engine.prefillTokensPerSecond, 1));
    const auto decodeSpeed = static_cast<double>(std::max<std::int64_t>(engine.decodeTokensPerSecond, 1));
    return {static_cast<double>(work.uncachedPrompt.count()) / prefillSpeed / seconds, static_cast<double>(work.output.count()) / decodeSpeed / seconds};
}

void RolePlanner::smooth(ClassDemand &demand, const PhaseWork &work, double seconds) const
{
    const ClassDemand current = engineSeconds(work, seconds);
    const double smoothingFactor = 1 - std::exp(-seconds / SMOOTHING_SECONDS);
    demand.prefill += (current.prefill - demand.prefill) * smoothingFactor;
    demand.decode += (current.decode - demand.decode) * smoothingFactor;
}

double RolePlanner::timeInRole(const ClassDemand &demand, EngineRole role) const
{
    const int prefillSpeed = role == EngineRole::Prefill ? speeds_.favoured : role == EngineRole::Mixed ? speeds_.mixed : speeds_.other;
    const int decodeSpeed = role == EngineRole::Decode ? speeds_.favoured : role == EngineRole::Mixed ? speeds_.mixed : speeds_.other;
    return demand.prefill * 1000 / prefillSpeed + demand.decode * 1000 / decodeSpeed;
}

bool RolePlanner::isStale(Time now) const
{
    if (!demandReportedAt_ || now - *demandReportedAt_ > MAX_INPUT_AGE) {
        return true;
    }
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto &entry) {
        return entry.second.status.available && now - entry.second.reportedAt > MAX_INPUT_AGE;
    });
}

void RolePlanner::expirePending(Time now)
{
    if (pending_ && now - pending_->since > changeTime_ * TIMEOUT_FACTOR) {
        pending_.reset();
    }
}

RolePlanner::Counts RolePlanner::countRoles() const
{
    Counts counts;
    for (const auto &[id, engine] : engines_) {
        if (engine.status.available) {
            counts.of(engine.status.role) += 1;
        }
    }
    return counts;
}

bool RolePlanner::canServe(const Counts &counts, const Demand &demand, double fraction) const
{
    // Prefill-heavy requests are assigned first, to the roles where they displace the fewest decode-heavy requests, which get the remaining time.
    Counts remaining = counts;
    double unserved = fraction;
    for (const EngineRole role : PREFILL_FIRST) {
        const double time = timeInRole(demand.prefillHeavy, role);
        const double served = time > 0 ? std::min(unserved, remaining.of(role) / time) : unserved;
        unserved -= served;
        remaining.of(role) -= served * time;
    }
    if (unserved > 0) {
        return false;
    }
    double capacity = 0;
    for (const EngineRole role : PREFILL_FIRST) {
        const double time = timeInRole(demand.decodeHeavy, role);
        if (time <= 0) {
            return true;
        }
        capacity += remaining.of(role) / time;
    }
    return capacity >= fraction;
}

double RolePlanner::servableFraction(const Counts &counts, const Demand &demand) const
{
    double low = 0;
    double high = MAX_SERVABLE_FRACTION;
    for (int step = 0; step < BISECTION_STEPS; ++step) {
        const double middle = (low + high) / 2;
        (canServe(counts, demand, middle) ? low : high) = middle;
    }
    return low;
}

double RolePlanner::changeCostSeconds(EngineRole to) const
{
    if (to == EngineRole::Mixed) {
        return toSeconds(changeTime_);
    }
    const double speedLoss = (speeds_.favoured - speeds_.other) / 1000.0;
    return toSeconds(changeTime_) * CHANGES_PER_SWING + SWING_DETECTION_SECONDS * speedLoss;
}

const RolePlanner::Engine *RolePlanner::leastLoadedEngine(EngineRole role, Time now) const
{
    const Engine *best = nullptr;
    for (const auto &[id, engine] : engines_) {
        const bool hasCooledDown = engine.changedAt == Time::min() || now - engine.changedAt >= changeTime_ * COOLDOWN_FACTOR;
        if (engine.status.role != role || !engine.status.available || !hasCooledDown) {
            continue;
        }
        if (best == nullptr || engine.status.runningRequests < best->status.runningRequests) {
            best = &engine;
        }
    }
    return best;
}

std::optional<RolePlanner::Option> RolePlanner::evaluate(EngineRole from, EngineRole to, const Counts &counts, const Demand &demand, Time now) const
{
    const Engine *engine = leastLoadedEngine(from, now);
    if (engine == nullptr) {
        return std::nullopt;
    }
    Counts after = counts;
    after.of(from) -= 1;
    after.of(to) += 1;
    if (after.prefill + after.mixed < 1 || after.decode + after.mixed < 1) {
        return std::nullopt;
    }
    RoleFigures figures;
    figures.prefillDemand = demand.prefillHeavy.prefill + demand.decodeHeavy.prefill;
    figures.decodeDemand = demand.prefillHeavy.decode + demand.decodeHeavy.decode;
    figures.servedBefore = servableFraction(counts, demand);
    figures.servedAfter = servableFraction(after, demand);
    const double totalDemand = figures.prefillDemand + figures.decodeDemand;
    const double gainedFraction = std::min(figures.servedAfter, SUFFICIENT_FRACTION) - std::min(figures.servedBefore, SUFFICIENT_FRACTION);
    figures.gain = gainedFraction * totalDemand * std::max(toSeconds(horizon_ - changeTime_), 0.0);
    figures.price = changeCostSeconds(to) * policy_.changePrice;
    if (figures.gain <= figures.price) {
        return std::nullopt;
    }
    const bool lacksPrefill = to == EngineRole::Prefill || (to == EngineRole::Mixed && from == EngineRole::Decode);
    return Option {{engine->status.engine, to, lacksPrefill ? "prefill-short" : "decode-short", figures}, figures.gain - figures.price};
}

std::optional<RolePlanner::Option> RolePlanner::bestOption(Time now) const
{
    const Counts counts = countRoles();
    const Demand demand = demandOverHorizon();
    if (servableFraction(counts, demand) >= SUFFICIENT_FRACTION) {
        return std::nullopt;
    }
    std::optional<Option> best;
    for (const EngineRole from : ROLES) {
        for (const EngineRole to : ROLES) {
            if (from == to) {
                continue;
            }
            const auto option = evaluate(from, to, counts, demand, now);
            if (option && (!best || option->netGain > best->netGain)) {
                best = option;
            }
        }
    }
    return best;
}

bool RolePlanner::isConfirmed(const RoleChange &change, EngineRole from, Time now)
{
    const std::pair roles(from, change.role);
    if (candidate_ != roles || now - lastPlanAt_ > MAX_PLAN_INTERVAL) {
        candidate_ = roles;
        candidateSince_ = now;
    }
    return now - candidateSince_ >= CONFIRMATION_TIME;
}

std::optional<RoleChange> RolePlanner::plan(Time now)
{
    expirePending(now);
    if (pending_ || isStale(now)) {
        candidate_.reset();
        return std::nullopt;
    }
    const auto option = bestOption(now);
    if (!option) {
        candidate_.reset();
        return std::nullopt;
    }
    const EngineRole from = engines_.at(option->change.engine).status.role;
    const bool ready = isConfirmed(option->change, from, now);
    lastPlanAt_ = now;
    if (!ready) {
        return std::nullopt;
    }
    candidate_.reset();
    pending_ = Pending {option->change.engine, option->change.role, now};
    return option->change;
}

RoleFigures RolePlanner::figures() const
{
    RoleFigures figures;
    figures.prefillDemand = smoothedDemand_.prefillHeavy.prefill + smoothedDemand_.decodeHeavy.prefill;
    figures.decodeDemand = smoothedDemand_.prefillHeavy.decode + smoothedDemand_.decodeHeavy.decode;
    return figures;
}

RolePlanner::Builder &RolePlanner::Builder::policy(RolePolicy policy)
{
    policy_ = policy;
    return *this;
}

RolePlanner::Builder &RolePlanner::Builder::speeds(RoleSpeeds speeds)
{
    speeds_ = speeds;
    return *this;
}

RolePlanner::Builder &RolePlanner::Builder::changeTime(Duration time)
{
    changeTime_ = time;
    return *this;
}

RolePlanner::Builder &RolePlanner::Builder::horizon(Duration horizon)
{
    horizon_ = horizon;
    return *this;
}

RolePlanner RolePlanner::Builder::build() const
{
    return {policy_, speeds_, changeTime_, horizon_};
}

} // namespace mimosatally
