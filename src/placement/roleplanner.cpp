#include <mimosatally/placement/roleplanner.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace mimosatally
{

namespace
{
/// \brief Input older than this is stale; three of the exchanges that carry it, which are one second apart.
constexpr Duration STALE_AFTER = Duration(3000);
/// \brief Time constant of the mean demand: long against single requests, short against swings within minutes.
constexpr double SMOOTHING_SECONDS = 5.0;
/// \brief A change must stay the best for this long, so that a burst does not cause it.
constexpr Duration CONFIRMATION = Duration(5000);
/// \brief Pauses between calls of plan() longer than this start the confirmation anew.
constexpr Duration LONGEST_PLAN_GAP = Duration(2500);
/// \brief An engine keeps its role at least this long; a multiple of the time that a change costs.
constexpr int CHANGE_TIMES_BETWEEN_CHANGES = 4;
/// \brief A change that takes longer than this multiple of its time has failed, and another one may start.
constexpr int CHANGE_TIMES_TO_TIMEOUT = 6;
/// \brief Spare capacity below this part is used before roles change.
constexpr double SERVED_WITHOUT_CHANGE = 1.0;
/// \brief A mix that swings makes a change to one phase be followed by one back; a mixed engine serves every mix.
constexpr int CHANGES_PER_SWING = 2;
/// \brief Time until the next swing is noticed (smoothing and confirmation), in which an engine of one phase has the wrong role.
constexpr double NOTICE_SECONDS = 10;
constexpr double MAX_SERVABLE = 8.0;
constexpr int BISECTION_STEPS = 24;
/// \brief Roles by how well they suit prefill.
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
    const auto add = [&](PhaseWork &work) {
        work.uncachedPrompt += request.uncachedPrompt;
        work.output += request.output;
    };
    add(arrived);
    if (!prefillHeavy) {
        prefillHeavy.emplace();
    }
    const std::int64_t prefill = request.uncachedPrompt.count() * decodeTokensPerSecond;
    const std::int64_t decode = request.output.count() * prefillTokensPerSecond;
    if (prefill > decode) {
        add(*prefillHeavy);
    }
}

void RolePlanner::reportDemand(const DemandReport &demand, Time now)
{
    const double seconds = demandAt_ ? toSeconds(now - *demandAt_) : 0;
    demandAt_ = now;
    waiting_ = demand.waiting;
    if (seconds <= 0 || engines_.empty()) {
        return;
    }
    const PhaseWork prefillHeavy = demand.prefillHeavy.value_or(demand.arrived);
    smooth(rate_.prefillHeavy, prefillHeavy, seconds);
    smooth(rate_.decodeHeavy, {demand.arrived.uncachedPrompt - prefillHeavy.uncachedPrompt, demand.arrived.output - prefillHeavy.output}, seconds);
}

RolePlanner::Demand RolePlanner::demandOverHorizon() const
{
    Demand demand = rate_;
    const double prefill = rate_.prefillHeavy.prefill + rate_.decodeHeavy.prefill;
    const double decode = rate_.prefillHeavy.decode + rate_.decodeHeavy.decode;
    const ClassDemand waiting = engineSeconds(waiting_, toSeconds(horizon_));
    // The kinds of the waiting requests are not reported; they are taken to be as among the arrivals.
    const double prefillFactor = prefill > 0 ? 1 + waiting.prefill / prefill : 1;
    const double decodeFactor = decode > 0 ? 1 + waiting.decode / decode : 1;
    for (ClassDemand *kind : {&demand.prefillHeavy, &demand.decodeHeavy}) {
        kind->prefill *= prefillFactor;
        kind->decode *= decodeFactor;
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
    const ClassDemand now = engineSeconds(work, seconds);
    const double step = 1 - std::exp(-seconds / SMOOTHING_SECONDS);
    demand.prefill += (now.prefill - demand.prefill) * step;
    demand.decode += (now.decode - demand.decode) * step;
}

double RolePlanner::timeInRole(const ClassDemand &demand, EngineRole role) const
{
    const int prefillSpeed = role == EngineRole::Prefill ? speeds_.favoured : role == EngineRole::Mixed ? speeds_.mixed : speeds_.other;
    const int decodeSpeed = role == EngineRole::Decode ? speeds_.favoured : role == EngineRole::Mixed ? speeds_.mixed : speeds_.other;
    return demand.prefill * 1000 / prefillSpeed + demand.decode * 1000 / decodeSpeed;
}

bool RolePlanner::stale(Time now) const
{
    if (!demandAt_ || now - *demandAt_ > STALE_AFTER) {
        return true;
    }
    return std::any_of(engines_.begin(), engines_.end(), [&](const auto &entry) {
        return entry.second.status.available && now - entry.second.reportedAt > STALE_AFTER;
    });
}

void RolePlanner::endPending(Time now)
{
    if (pending_ && now - pending_->since > changeTime_ * CHANGE_TIMES_TO_TIMEOUT) {
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

bool RolePlanner::canServe(const Counts &counts, const Demand &demand, double part) const
{
    // Prefill-heavy requests go where they displace the least decode-heavy ones; the time that is left serves those.
    Counts left = counts;
    double unserved = part;
    for (const EngineRole role : PREFILL_FIRST) {
        const double time = timeInRole(demand.prefillHeavy, role);
        const double served = time > 0 ? std::min(unserved, left.of(role) / time) : unserved;
        unserved -= served;
        left.of(role) -= served * time;
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
        capacity += left.of(role) / time;
    }
    return capacity >= part;
}

double RolePlanner::servable(const Counts &counts, const Demand &demand) const
{
    double low = 0;
    double high = MAX_SERVABLE;
    for (int step = 0; step < BISECTION_STEPS; ++step) {
        const double middle = (low + high) / 2;
        (canServe(counts, demand, middle) ? low : high) = middle;
    }
    return low;
}

double RolePlanner::lostSeconds(EngineRole to) const
{
    if (to == EngineRole::Mixed) {
        return toSeconds(changeTime_);
    }
    const double slower = (speeds_.favoured - speeds_.other) / 1000.0;
    return toSeconds(changeTime_) * CHANGES_PER_SWING + NOTICE_SECONDS * slower;
}

const RolePlanner::Engine *RolePlanner::cheapestEngine(EngineRole role, Time now) const
{
    const Engine *best = nullptr;
    for (const auto &[id, engine] : engines_) {
        const bool rested = engine.changedAt == Time::min() || now - engine.changedAt >= changeTime_ * CHANGE_TIMES_BETWEEN_CHANGES;
        if (engine.status.role != role || !engine.status.available || !rested) {
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
    const Engine *engine = cheapestEngine(from, now);
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
    figures.servedBefore = servable(counts, demand);
    figures.servedAfter = servable(after, demand);
    const double all = figures.prefillDemand + figures.decodeDemand;
    const double gained = std::min(figures.servedAfter, SERVED_WITHOUT_CHANGE) - std::min(figures.servedBefore, SERVED_WITHOUT_CHANGE);
    figures.gain = gained * all * std::max(toSeconds(horizon_ - changeTime_), 0.0);
    figures.price = lostSeconds(to) * policy_.changePrice;
    if (figures.gain <= figures.price) {
        return std::nullopt;
    }
    const bool prefillShort = to == EngineRole::Prefill || (to == EngineRole::Mixed && from == EngineRole::Decode);
    return Option {{engine->status.engine, to, prefillShort ? "prefill-short" : "decode-short", figures}, figures.gain - figures.price};
}

std::optional<RolePlanner::Option> RolePlanner::bestOption(Time now) const
{
    const Counts counts = countRoles();
    const Demand demand = demandOverHorizon();
    if (servable(counts, demand) >= SERVED_WITHOUT_CHANGE) {
        return std::nullopt;
    }
    std::optional<Option> best;
    for (const EngineRole from : ROLES) {
        for (const EngineRole to : ROLES) {
            if (from == to) {
                continue;
            }
            const auto option = evaluate(from, to, counts, demand, now);
            if (option && (!best || option->advantage > best->advantage)) {
                best = option;
            }
        }
    }
    return best;
}

bool RolePlanner::confirmed(const RoleChange &change, EngineRole from, Time now)
{
    const std::pair roles(from, change.role);
    if (candidate_ != roles || now - lastPlan_ > LONGEST_PLAN_GAP) {
        candidate_ = roles;
        candidateSince_ = now;
    }
    return now - candidateSince_ >= CONFIRMATION;
}

std::optional<RoleChange> RolePlanner::plan(Time now)
{
    endPending(now);
    if (pending_ || stale(now)) {
        candidate_.reset();
        return std::nullopt;
    }
    const auto option = bestOption(now);
    if (!option) {
        candidate_.reset();
        return std::nullopt;
    }
    const EngineRole from = engines_.at(option->change.engine).status.role;
    const bool ready = confirmed(option->change, from, now);
    lastPlan_ = now;
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
    figures.prefillDemand = rate_.prefillHeavy.prefill + rate_.decodeHeavy.prefill;
    figures.decodeDemand = rate_.prefillHeavy.decode + rate_.decodeHeavy.decode;
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
