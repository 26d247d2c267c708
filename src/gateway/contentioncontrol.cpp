#include "contentioncontrol.h"

#include "admission.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Age up to which the use of the slots is taken as current; the engines' reports that it rests on are some 100 ms old.
constexpr Duration SLOTS_LIFETIME = Duration(20);
/// \brief No call is refused while less than this part of the slots is taken and nothing waits.
constexpr double MIN_USE_FOR_REFUSAL = 0.5;
/// \brief Largest part of the slots that is kept for short urgent calls, so that the others always find some.
constexpr double MAX_RESERVED_PART = 0.25;
/// \brief Part of the usual queue that calls may wait behind if their organisation has had its share, or if a more urgent kind is served less often.
constexpr double OVER_SHARE_ALLOWANCE = 0.5;
/// \brief The same if its organisation asks for less than its share. Such calls are few, so the queue does not become longer by them.
constexpr double BELOW_SHARE_ALLOWANCE = 1.5;
constexpr double MORE_URGENT_ALLOWANCE = 0.5;
/// \brief Difference of served shares that counts; the platform allows 0.05.
constexpr double MAX_SHARE_DIFFERENCE = 0.02;
/// \brief With fewer calls of a kind in the last seconds, its served share says little.
constexpr double MIN_DECIDED = 3;
/// \brief Ratio of arrivals to starts from which on no room is expected; below it, the difference may be chance.
constexpr double OVERLOAD_RATIO = 1.0;
/// \brief Part of the latency target up to which a call may wait in this process.
constexpr double MAX_WAIT_FRACTION = 0.3;
/// \brief Part of the latency target up to which a queue at the engines is no reason to wait; see Admission.
constexpr double MAX_QUEUE_FRACTION = 0.5;
/// \brief Callers come back only within this part of the time they have left.
constexpr int RETRY_DIVISOR = 3;
/// \brief A queue that is too long for a call is not shorter much sooner.
constexpr Duration MIN_RETRY_AFTER = Duration(150);
/// \brief Bursts last some seconds, so a call with much time left need not wait longer.
constexpr Duration MAX_RETRY_AFTER = Duration(2000);
/// \brief Part of the longest delay over which the returns are spread if no room is expected before.
constexpr double RETRY_SPREAD = 0.4;

double allowanceOf(ShareStanding standing)
{
    switch (standing) {
    case ShareStanding::Below:
        return BELOW_SHARE_ALLOWANCE;
    case ShareStanding::Within:
        break;
    case ShareStanding::Above:
        return OVER_SHARE_ALLOWANCE;
    }
    return 1;
}

double toMs(Duration duration)
{
    return static_cast<double>(duration.count());
}
} // namespace

std::string_view reasonName(ContentionReason reason)
{
    switch (reason) {
    case ContentionReason::Deadline:
        return "deadline";
    case ContentionReason::Queue:
        return "queue";
    case ContentionReason::OverShare:
        return "over-share";
    case ContentionReason::MoreUrgent:
        return "more-urgent";
    case ContentionReason::Reserve:
        return "reserve";
    }
    return "queue";
}

void ContentionControl::configure(const ServingConfiguration &configuration, UrgencyTable urgencies, bool forced)
{
    active_ = forced || configuration.organisations.has_value();
    urgencies_ = active_ ? std::move(urgencies) : UrgencyTable();
    std::erase_if(services_, [&](const auto &entry) {
        return !active_ || !configuration.services.contains(entry.first);
    });
}

bool ContentionControl::isActive() const
{
    return active_;
}

const UrgencyTable &ContentionControl::urgencies() const
{
    return urgencies_;
}

void ContentionControl::setProcessCount(int count)
{
    processCount_ = std::max(1, count);
}

bool ContentionControl::needsSlots(const ServiceId &service, Time now) const
{
    const auto found = services_.find(service);
    return found == services_.end() || found->second.slotsUpdatedAt == Time::min() || now - found->second.slotsUpdatedAt > SLOTS_LIFETIME;
}

void ContentionControl::reportSlots(const ServiceId &service, const ServiceSlots &slots, Time now)
{
    services_[service].slots = slots;
    services_[service].slotsUpdatedAt = now;
}

KindDemand &ContentionControl::demandOf(ServiceContention &service, const ContendedCallKind &kind)
{
    const int rank = std::clamp(kind.rank, 0, UrgencyTable::MAX_RANKS - 1);
    return service.demands.at(static_cast<std::size_t>(rank)).at(kind.isShort ? 1 : 0);
}

void ContentionControl::recordArrival(const ContendedCallKind &kind, Time now)
{
    ServiceContention &service = services_[kind.service];
    demandOf(service, kind).recordArrival(now);
    service.shares.recordOffered(kind.organisation, static_cast<double>(kind.tokens.count()), now);
}

double ContentionControl::reservedSlots(const ContendedCallKind &kind, Time now) const
{
    const auto found = services_.find(kind.service);
    if (found == services_.end()) {
        return 0;
    }
    double needed = 0;
    double inUse = 0;
    const int lastRank = kind.isShort ? kind.rank - 1 : kind.rank;
    for (int rank = 0; rank <= std::min(lastRank, UrgencyTable::MAX_RANKS - 1); ++rank) {
        const KindDemand &demand = found->second.demands.at(static_cast<std::size_t>(rank)).at(1);
        needed += demand.neededSlots(now);
        inUse += demand.inProgress();
    }
    const double missing = std::max(0.0, needed - inUse) * processCount_;
    return std::min(missing, found->second.slots.total * MAX_RESERVED_PART);
}

double ContentionControl::shareAhead(const ServiceContention &service, int rank, Time now)
{
    double ahead = 0;
    double all = 0;
    for (int other = 0; other < UrgencyTable::MAX_RANKS; ++other) {
        for (const KindDemand &demand : service.demands.at(static_cast<std::size_t>(other))) {
            const double slotMs = demand.startedSlotMs(now);
            all += slotMs;
            ahead += other <= rank ? slotMs : 0;
        }
    }
    return all <= 0 ? 1 : ahead / all;
}

bool ContentionControl::isAheadOfMoreUrgent(const ServiceContention &service, const ContendedCallKind &kind, Time now)
{
    double started = 0;
    double decided = 0;
    for (const KindDemand &demand : service.demands.at(static_cast<std::size_t>(kind.rank))) {
        started += demand.decided(now) * demand.servedShare(now);
        decided += demand.decided(now);
    }
    const double ownShare = decided <= 0 ? 1 : started / decided;
    for (int rank = 0; rank < kind.rank; ++rank) {
        for (const KindDemand &demand : service.demands.at(static_cast<std::size_t>(rank))) {
            if (demand.decided(now) >= MIN_DECIDED && demand.servedShare(now) + MAX_SHARE_DIFFERENCE < ownShare) {
                return true;
            }
        }
    }
    return false;
}

double ContentionControl::startsPerMs(const ServiceContention &service, Time now)
{
    double sum = 0;
    for (const auto &ofRank : service.demands) {
        sum += ofRank.front().startsPerMs(now) + ofRank.back().startsPerMs(now);
    }
    return sum;
}

double ContentionControl::arrivalsPerMs(const ServiceContention &service, Time now)
{
    double sum = 0;
    for (const auto &ofRank : service.demands) {
        sum += ofRank.front().arrivalsPerMs(now) + ofRank.back().arrivalsPerMs(now);
    }
    return sum;
}

std::optional<ContentionReason> ContentionControl::objection(ServiceContention &service, const ContendedCallKind &kind, const ContentionInput &input, Time now)
{
    const ServiceSlots &slots = service.slots;
    if (slots.requests < slots.total * MIN_USE_FOR_REFUSAL && slots.waiting < 1 && input.waitingAhead == 0) {
        return std::nullopt;
    }
    AdmissionInput deadline;
    deadline.firstByteMs = input.firstByteMs - input.queueMs + figures_.queueAheadMs;
    deadline.remainingTime = input.remainingTime;
    if (!Admission::decide(deadline, 0).admitted) {
        return ContentionReason::Deadline;
    }
    const ShareStanding standing = service.shares.standingOf(kind.organisation, now);
    const bool aheadOfUrgent = isAheadOfMoreUrgent(service, kind, now);
    figures_.allowance = allowanceOf(standing) * (aheadOfUrgent ? MORE_URGENT_ALLOWANCE : 1);
    if (input.withinReserve) {
        return ContentionReason::Reserve;
    }
    if (input.waitingAhead > 0) {
        return ContentionReason::Queue;
    }
    // All calls of a kind are judged by its mean time, so that the large ones are not refused for shorter queues than the small ones.
    AdmissionInput queue;
    // The time that the call has waited here is a part of its queue.
    queue.queueMs = figures_.queueAheadMs / figures_.allowance + toMs(input.elapsed);
    queue.firstByteMs = demandOf(service, kind).meanOwnMs() + queue.queueMs;
    queue.remainingTime = Duration::max();
    queue.latencyTarget = kind.latencyTarget;
    if (Admission::decide(queue, 0).admitted) {
        return std::nullopt;
    }
    if (standing == ShareStanding::Above) {
        return ContentionReason::OverShare;
    }
    return aheadOfUrgent ? ContentionReason::MoreUrgent : ContentionReason::Queue;
}

std::optional<double> ContentionControl::expectedWaitMs(
    const ServiceContention &service, const ContendedCallKind &kind, const ContentionInput &input, ContentionReason reason, Time now) const
{
    const double starts = startsPerMs(service, now);
    if (starts <= 0) {
        return std::nullopt;
    }
    // The calls that wait in this process before this one are started at the service's rate, however many others arrive.
    const double waitMs = static_cast<double>(input.waitingAhead + 1) / starts;
    if (reason == ContentionReason::Reserve || input.waitingAhead > 0) {
        return waitMs;
    }
    if (arrivalsPerMs(service, now) > starts * OVERLOAD_RATIO) {
        return std::nullopt;
    }
    const double allowedMs = toMs(kind.latencyTarget) * MAX_QUEUE_FRACTION * figures_.allowance;
    return std::max(0.0, figures_.queueAheadMs - allowedMs) + waitMs;
}

Duration ContentionControl::retryAfter(ServiceContention &service, const ContentionInput &input, std::optional<double> expectedWaitMs, double jitter, Time now)
{
    const Duration longest = std::min(input.remainingTime / RETRY_DIVISOR, MAX_RETRY_AFTER);
    if (expectedWaitMs) {
        const auto wait = std::max(MIN_RETRY_AFTER, Duration(static_cast<Duration::rep>(*expectedWaitMs) + 1));
        const Time next = std::max(now + wait, service.lastReturn + Duration(1));
        if (next - now <= longest) {
            service.lastReturn = next;
            return next - now;
        }
    }
    return Duration(static_cast<Duration::rep>(toMs(longest) * (1 - RETRY_SPREAD * jitter)));
}

ContentionDecision ContentionControl::decide(const ContendedCallKind &kind, const ContentionInput &input, double jitter, Time now)
{
    ServiceContention &service = services_[kind.service];
    figures_ = ContentionFigures();
    figures_.queueAheadMs = input.queueMs * shareAhead(service, kind.rank, now);
    figures_.reservedSlots = reservedSlots(kind, now);
    figures_.startsPerSecond = startsPerMs(service, now) * toMs(std::chrono::seconds(1));
    figures_.slots = service.slots;
    figures_.slotsAge = service.slotsUpdatedAt == Time::min() ? Duration(0) : now - service.slotsUpdatedAt;
    const std::optional<ContentionReason> reason = objection(service, kind, input, now);
    if (!reason) {
        return SendNow();
    }
    const std::optional<double> wait = expectedWaitMs(service, kind, input, *reason, now);
    const double longestMs =
        std::min(toMs(kind.latencyTarget) * MAX_WAIT_FRACTION * figures_.allowance - toMs(input.elapsed), toMs(input.remainingTime) / RETRY_DIVISOR);
    if (wait && *reason != ContentionReason::Deadline && *wait <= longestMs) {
        return WaitForRoom {now + Duration(static_cast<Duration::rep>(longestMs) + 1)};
    }
    const bool isOverloaded = arrivalsPerMs(service, now) > startsPerMs(service, now) * OVERLOAD_RATIO;
    demandOf(service, kind).recordRefusal(now);
    return RefuseCall {*reason, retryAfter(service, input, isOverloaded ? std::nullopt : wait, jitter, now)};
}

const ContentionFigures &ContentionControl::figures() const
{
    return figures_;
}

void ContentionControl::recordStart(const ContendedCallKind &kind, double ownMs, Time now)
{
    ServiceContention &service = services_[kind.service];
    demandOf(service, kind).recordStart(ownMs, now);
    service.shares.recordServed(kind.organisation, static_cast<double>(kind.tokens.count()), now);
}

void ContentionControl::recordEnd(const ContendedCallKind &kind, Duration held)
{
    const auto found = services_.find(kind.service);
    if (found != services_.end()) {
        demandOf(found->second, kind).recordEnd(held);
    }
}

} // namespace mimosatally::internal
