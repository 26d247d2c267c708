#pragma once

#include "../../src/gateway/admission.h"
#include "../../src/gateway/contentioncontrol.h"
#include "../../src/gateway/engineorder.h"
#include "../../src/gateway/roomwaiters.h"

#include <list>
#include <queue>
#include <random>

namespace mimosatally::test
{

using namespace mimosatally::internal;

/// \brief Results of the calls of one kind or organisation.
struct LoopCount {
    int offered = 0;
    int served = 0;
    int onTime = 0;
    int refusals = 0;
    /// \brief Calls that came back after a refusal, and those of them that were served.
    int returned = 0;
    int returnedServed = 0;

    [[nodiscard]] double share() const
    {
        return offered == 0 ? 1 : static_cast<double>(served) / offered;
    }

    [[nodiscard]] double returnedShare() const
    {
        return returned == 0 ? 1 : static_cast<double>(returnedServed) / returned;
    }
};

/// \brief Load of one run.
struct LoopLoad {
    /// \brief Arriving work during the burst, relative to the capacity.
    double burst = 2;
    int organisations = 72;
    /// \brief Share of the calls that come from the first organisation.
    double largest = 0;
    /// \brief Share of the engines that are gone for 4.8 s from the start of the burst.
    double gone = 0;
    /// \brief ContentionControl decides, otherwise Admission.
    bool controlled = true;
};

/// \brief Closed loop of callers without a network: long checks and short hints share the slots of some engines, which admit calls by their order.
/// A refused caller comes back once, after Retry-After, if that is within a third of the time that it has left.
class ContentionLoop
{
public:
    explicit ContentionLoop(const LoopLoad &load)
        : load_(load)
        , random_(7)
    {
        ServingConfiguration configuration;
        configuration.services[SERVICE] = {SERVICE, 100, std::nullopt};
        for (const int priority : {0, 2}) {
            Route route;
            route.priority = priority;
            configuration.routes.push_back(route);
        }
        control_.configure(configuration, UrgencyTable(configuration), true);
        for (int ms = 0; ms < END_MS; ++ms) {
            now_ = Time(Duration(1'000'000 + ms));
            step(ms);
        }
    }

    /// \brief Returns the sum of both kinds.
    [[nodiscard]] LoopCount all() const
    {
        return {checks.offered + hints.offered,
                checks.served + hints.served,
                checks.onTime + hints.onTime,
                checks.refusals + hints.refusals,
                checks.returned + hints.returned,
                checks.returnedServed + hints.returnedServed};
    }

    LoopCount checks;
    LoopCount hints;
    /// \brief Checks in the largest tenth by their size.
    LoopCount largeChecks;
    /// \brief Calls of the first organisation and of all others.
    LoopCount first;
    LoopCount others;
    /// \brief Refusals while less than half of the slots were taken and nothing waited.
    int idleRefusals = 0;
    Duration longestWait = Duration(0);
    Duration longestRetryAfter = Duration(0);

private:
    struct Call {
        bool isHint = false;
        bool isLarge = false;
        bool isFirst = false;
        bool isReturn = false;
        int ownMs = 0;
        int heldMs = 0;
        Time arrived;
        Time deadline;
        int order = 0;
        std::uint64_t number = 0;
        ContendedCallKind kind;
        bool recorded = false;
        Time nextDecision;

        bool operator<(const Call &other) const
        {
            return std::pair(order, number) > std::pair(other.order, other.number);
        }
    };

    static constexpr int SLOTS = 192;
    static constexpr int BURST_FROM = 3000;
    static constexpr int BURST_MS = 3000;
    static constexpr int GONE_MS = 4800;
    static constexpr int END_MS = 12'000;
    static constexpr int CHECK_MS = 300;
    static constexpr int HINT_MS = 1500;
    static constexpr double HINTS_PER_MS = 0.004;
    inline static const ServiceId SERVICE = ServiceId("model");

    void step(int ms)
    {
        const bool inBurst = ms >= BURST_FROM && ms < BURST_FROM + BURST_MS;
        const bool isShort = ms >= BURST_FROM && ms < BURST_FROM + GONE_MS;
        slots_ = SLOTS - (isShort ? static_cast<int>(SLOTS * load_.gone) : 0);
        const double usual = 0.7;
        const double factor = inBurst ? load_.burst : usual;
        const double checksPerMs = factor * SLOTS / CHECK_MS - HINTS_PER_MS * HINT_MS / CHECK_MS;
        arrive(checksPerMs, false);
        arrive(HINTS_PER_MS * std::max(1.0, factor), true);
        while (!running_.empty() && running_.top().first <= now_) {
            control_.recordEnd(running_.top().second, Duration(running_.top().second.isShort ? HINT_MS : CHECK_MS));
            running_.pop();
        }
        dispatch();
        while (!returning_.empty() && returning_.begin()->first <= now_) {
            Call call = returning_.begin()->second;
            returning_.erase(returning_.begin());
            decide(std::move(call));
        }
        decideWaiting();
        dispatch();
    }

    void dispatch()
    {
        while (!queue_.empty() && std::ssize(running_) < slots_) {
            run(queue_.top());
            queue_.pop();
        }
    }

    void arrive(double perMs, bool isHint)
    {
        const int arrivals = std::poisson_distribution<int>(perMs)(random_);
        for (int i = 0; i < arrivals; ++i) {
            Call call;
            call.isHint = isHint;
            const double size = isHint ? 1 : std::uniform_real_distribution<double>(0.5, 1.5)(random_);
            call.isLarge = size > 1.4;
            call.ownMs = isHint ? 40 : static_cast<int>(CHECK_MS * size * 0.7);
            call.heldMs = isHint ? HINT_MS : static_cast<int>(CHECK_MS * size);
            call.isFirst = std::uniform_real_distribution<double>(0, 1)(random_) < load_.largest;
            const int organisation = call.isFirst ? 0 : std::uniform_int_distribution<int>(1, load_.organisations - 1)(random_);
            call.arrived = now_;
            call.deadline = now_ + Duration(2000);
            call.kind = {SERVICE,
                         OrganisationId("o" + std::to_string(organisation)),
                         isHint ? 0 : 1,
                         Tokens(static_cast<int>(isHint ? 292 : 9190 * size)),
                         isHint,
                         Duration(isHint ? 200 : 500)};
            call.order = load_.controlled ? control_.urgencies().engineOrder(call.kind.rank, Tokens(isHint ? 141 : 0))
                                          : engineOrder(isHint ? 0 : 2, Tokens(isHint ? 141 : 0));
            forEachCount(call, [](LoopCount &count) {
                ++count.offered;
            });
            decide(std::move(call));
        }
    }

    [[nodiscard]] double freeSlots() const
    {
        return slots_ - static_cast<double>(running_.size() + queue_.size());
    }

    /// \brief Predicted wait behind all work that is queued at the engines.
    [[nodiscard]] double queueMs() const
    {
        return freeSlots() <= 0 ? (queuedMs_ + CHECK_MS) / slots_ : 0;
    }

    void decide(Call call)
    {
        call.number = call.number == 0 ? ++numbers_ : call.number;
        const std::optional<Duration> retryAfter = load_.controlled ? decideControlled(call) : decideUncontrolled(call);
        if (!retryAfter) {
            return;
        }
        idleRefusals += std::ssize(running_) * 2 < slots_ && queue_.empty() ? 1 : 0;
        longestRetryAfter = std::max(longestRetryAfter, *retryAfter);
        const bool comesBack = !call.isReturn && *retryAfter * 3 <= call.deadline - now_;
        forEachCount(call, [&](LoopCount &count) {
            ++count.refusals;
            count.returned += comesBack ? 1 : 0;
        });
        if (comesBack) {
            call.isReturn = true;
            call.recorded = false;
            call.arrived = now_ + *retryAfter;
            returning_.emplace(now_ + *retryAfter, std::move(call));
        }
    }

    std::optional<Duration> decideUncontrolled(const Call &call)
    {
        AdmissionInput input;
        input.queueMs = queueMs();
        input.firstByteMs = input.queueMs + call.ownMs;
        input.remainingTime = call.deadline - now_;
        input.latencyTarget = call.kind.latencyTarget;
        const AdmissionDecision decision = Admission::decide(input, jitter());
        if (decision.admitted) {
            send(call);
            return std::nullopt;
        }
        return decision.retryAfter;
    }

    std::optional<Duration> decideControlled(Call &call)
    {
        if (!call.recorded) {
            control_.recordArrival(call.kind, now_);
            call.recorded = true;
        }
        control_.reportSlots(
            SERVICE, {static_cast<double>(slots_), static_cast<double>(running_.size() + queue_.size()), static_cast<double>(queue_.size())}, now_);
        const double reserve = control_.reservedSlots(call.kind, now_);
        ContentionInput input;
        input.queueMs = queueMs();
        input.firstByteMs = input.queueMs + call.ownMs;
        input.withinReserve = reserve > 0 && freeSlots() <= std::floor(reserve);
        input.elapsed = now_ - call.arrived;
        input.remainingTime = call.deadline - now_;
        const WaitingOrder order {call.kind.rank, call.arrived + call.kind.latencyTarget};
        input.waitingAhead = static_cast<std::size_t>(std::distance(waiting_.begin(), waiting_.lower_bound(order)));
        const ContentionDecision decision = control_.decide(call.kind, input, jitter(), now_);
        if (const auto *wait = std::get_if<WaitForRoom>(&decision)) {
            call.nextDecision = std::min(wait->until, now_ + Duration(25));
            waiting_.emplace(order, call);
            return std::nullopt;
        }
        longestWait = std::max(longestWait, input.elapsed);
        if (const auto *refusal = std::get_if<RefuseCall>(&decision)) {
            return refusal->retryAfter;
        }
        control_.recordStart(call.kind, call.ownMs, now_);
        send(call);
        return std::nullopt;
    }

    /// \brief A place that becomes free wakes the first call, and each call looks again after 25 ms.
    void decideWaiting()
    {
        std::list<Call> due;
        for (auto call = waiting_.begin(); call != waiting_.end();) {
            const bool isWoken = call == waiting_.begin() && freeSlots() > 0;
            if (isWoken || call->second.nextDecision <= now_) {
                due.push_back(call->second);
                call = waiting_.erase(call);
            } else {
                ++call;
            }
        }
        for (Call &call : due) {
            decide(std::move(call));
        }
    }

    void send(const Call &call)
    {
        queuedMs_ += call.heldMs;
        queue_.push(call);
    }

    void run(const Call &call)
    {
        queuedMs_ -= call.heldMs;
        const Time firstByte = now_ + Duration(call.ownMs);
        running_.emplace(now_ + Duration(call.heldMs), call.kind);
        const Time firstArrival = call.deadline - Duration(2000);
        const bool served = firstByte <= call.deadline;
        const bool onTime = firstByte - firstArrival <= call.kind.latencyTarget;
        forEachCount(call, [&](LoopCount &count) {
            count.served += served ? 1 : 0;
            count.onTime += onTime ? 1 : 0;
            count.returnedServed += served && call.isReturn ? 1 : 0;
        });
    }

    template<class Function>
    void forEachCount(const Call &call, Function function)
    {
        function(call.isHint ? hints : checks);
        function(call.isFirst ? first : others);
        if (call.isLarge) {
            function(largeChecks);
        }
    }

    double jitter()
    {
        return std::uniform_real_distribution<double>(0, 1)(jitter_);
    }

    struct LaterEnd {
        bool operator()(const std::pair<Time, ContendedCallKind> &left, const std::pair<Time, ContendedCallKind> &right) const
        {
            return left.first > right.first;
        }
    };

    LoopLoad load_;
    std::mt19937_64 random_;
    /// \brief Apart from the arrivals, so that runs with different decisions have the same ones.
    std::mt19937_64 jitter_;
    ContentionControl control_;
    Time now_;
    int slots_ = SLOTS;
    std::uint64_t numbers_ = 0;
    double queuedMs_ = 0;
    std::priority_queue<Call> queue_;
    std::priority_queue<std::pair<Time, ContendedCallKind>, std::vector<std::pair<Time, ContendedCallKind>>, LaterEnd> running_;
    std::multimap<WaitingOrder, Call> waiting_;
    std::multimap<Time, Call> returning_;
};

} // namespace mimosatally::test
