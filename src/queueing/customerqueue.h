#pragma once

#include "muldiv.h"

#include <mimosatally/queueing/scheduler.h>

#include <list>
#include <map>
#include <set>

namespace mimosatally::internal
{

/// \brief Cost of a request or amount of service, in weighted tokens.
using Weight = std::int64_t;

/// \brief One million; shares are in millionths.
constexpr std::int64_t FULL_SHARE = 1'000'000;

/// \brief Largest cost of one request; keeps the virtual times of the smallest share within 64 bits.
constexpr Weight MAX_REQUEST_WEIGHT = 1'000'000'000;

struct WaitingRequest {
    QueuedRequest request;
    /// \brief Number of the request in order of arrival.
    std::uint64_t arrival = 0;
    Weight weight = 0;
    /// \brief Engine time at nominal speed, in microseconds.
    std::int64_t engineMicros = 0;
    Time enqueuedAt {};
    /// \brief Wait that the queue alone made expect, before it was corrected by earlier waits.
    Duration queueWait = Duration(0);
};

/// \brief Compares waits that were expected with those that followed, and corrects the next ones.
class WaitCorrection
{
public:
    void record(Duration expected, Duration actual);
    [[nodiscard]] Duration correct(Duration expected) const;

private:
    /// \brief Weight of the uncorrected expectation at the start, in milliseconds.
    static constexpr std::int64_t INITIAL_SUM = 2'000;
    /// \brief Older waits count half after this much expected waiting, in milliseconds.
    static constexpr std::int64_t WINDOW_SUM = 20'000;

    std::int64_t expectedSum_ = INITIAL_SUM;
    std::int64_t actualSum_ = INITIAL_SUM;
};

/// \brief Waiting requests and virtual times of one customer.
struct CustomerQueue {
    CustomerId id;
    std::int64_t share = 0;
    int priority = 0;
    std::list<WaitingRequest> waiting;
    Weight waitingWeight = 0;
    std::int64_t waitingMicros = 0;
    /// \brief Service up to this value of the total service is used up; below the total, the customer is below its share.
    Weight shareTag = 0;
    /// \brief Start tag among the customers of its priority class, for capacity that others leave unused.
    Weight unusedTag = 0;
    /// \brief Counts the returns from idle; a refund from an earlier busy period is not paid out.
    std::uint64_t busyPeriod = 0;
    /// \brief All service at this endpoint since its start.
    Weight served = 0;
    /// \brief Last known service at other endpoints, and how far it fell since; see Scheduler::setRemoteService.
    Weight remoteServed = 0;
    Weight servedAtReport = 0;
    Weight remoteDebt = 0;

    WaitCorrection waitCorrection;
    /// \brief Since when the last waiting request is expected to miss its deadline.
    std::optional<Time> hopelessSince;

    /// \brief Virtual time that \a weight takes at the customer's share; a share of zero counts as one millionth.
    [[nodiscard]] Weight atShare(Weight weight) const
    {
        return multiplyDivide(weight, FULL_SHARE, share);
    }

    [[nodiscard]] Time headDeadline() const
    {
        return waiting.front().request.startDeadline;
    }
};

/// \brief Orders the customers that have waiting requests by the key that each rule needs.
///
/// Customers are identified by their position in the order of ids, so that ties are decided alike in a replay.
class CustomerOrder
{
public:
    using Position = std::size_t;

    void insert(Position position, const CustomerQueue &customer, Weight totalService);
    /// \brief Removes \a customer; its tags and head must be as at the insertion.
    void erase(Position position, const CustomerQueue &customer);
    void clear();

    [[nodiscard]] bool empty() const
    {
        return byUnused_.empty();
    }

    /// \brief The customer furthest behind its share if it is more than \a limit behind.
    [[nodiscard]] std::optional<Position> behindBy(Weight limit, Weight totalService) const
    {
        if (byShareTag_.empty() || totalService - byShareTag_.begin()->first <= limit) {
            return std::nullopt;
        }
        return byShareTag_.begin()->second;
    }

    /// \brief Moves the customers that have come below their share as the total service grew.
    void advance(const std::vector<CustomerQueue> &customers, Weight totalService);

    /// \brief The customer below its share with the earliest deadline; nothing if all have received their share.
    std::optional<Position> earliestBelowShare(const std::vector<CustomerQueue> &customers, Weight totalService);

    /// \brief Weight that customers below their share with a deadline before \a deadline are served before they have their share.
    [[nodiscard]] Weight owedBefore(const std::vector<CustomerQueue> &customers, Weight totalService, Time deadline) const;

    /// \brief The customer for capacity that others leave unused.
    [[nodiscard]] Position bestForUnused() const
    {
        return byUnused_.begin()->second;
    }

    /// \brief Sum of the shares of the customers that wait.
    [[nodiscard]] std::int64_t waitingShares() const
    {
        return waitingShares_;
    }

    /// \brief Highest priority that waits; only if not empty().
    [[nodiscard]] int topPriority() const
    {
        return -byUnused_.begin()->first.negatedPriority;
    }

    /// \brief Sum of the shares of the customers that wait with \a priority.
    [[nodiscard]] std::int64_t classShares(int priority) const;

private:
    using Tag = std::pair<Weight, Position>;

    /// \brief Negated priority first, so that the highest class leads.
    struct UnusedKey {
        int negatedPriority;
        Weight tag;
        auto operator<=>(const UnusedKey &) const = default;
    };

    std::set<Tag> byShareTag_;
    /// \brief Customers above their share by the tag at which they come below it.
    std::set<Tag> aboveShare_;
    /// \brief Customers below their share by deadline, those furthest behind first among equal deadlines.
    std::set<std::pair<Time, Tag>> belowShare_;
    std::set<std::pair<UnusedKey, Position>> byUnused_;
    std::map<int, std::int64_t> classShares_;
    std::int64_t waitingShares_ = 0;
};

} // namespace mimosatally::internal
