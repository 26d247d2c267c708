#pragma once

#include "multiplydivide.h"

#include <mimosatally/queueing/scheduler.h>

#include <list>
#include <map>
#include <set>

namespace mimosatally::internal
{

/// \brief Cost of a request or amount of service, in weighted tokens.
using Weight = std::int64_t;

/// \brief Share of the whole capacity; shares are in millionths.
constexpr std::int64_t FULL_SHARE = 1'000'000;

/// \brief Maximum cost of one request; keeps the virtual times of the smallest share within 64 bits.
constexpr Weight MAX_REQUEST_WEIGHT = 1'000'000'000;

struct WaitingRequest {
    QueuedRequest request;
    /// \brief Sequence number in order of arrival.
    std::uint64_t arrivalNumber = 0;
    Weight weight = 0;
    /// \brief Engine time at nominal speed, in microseconds.
    std::int64_t engineMicros = 0;
    Time enqueuedAt {};
    /// \brief Wait estimated from the queue alone, before WaitCorrection was applied.
    Duration queueWait = Duration(0);
};

/// \brief Scales expected waits by the ratio of actual to expected waits of earlier requests.
class WaitCorrection
{
public:
    void record(Duration expected, Duration actual);
    [[nodiscard]] Duration correct(Duration expected) const;

private:
    /// \brief Initial value of both sums, so that the first waits do not decide alone, in milliseconds.
    static constexpr std::int64_t INITIAL_SUM = 2'000;
    /// \brief Both sums are halved when one exceeds this, so that recent waits weigh more, in milliseconds.
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
    /// \brief Virtual time up to which the customer has received its share; it is below its share while this is at most the total service.
    Weight shareTag = 0;
    /// \brief Start tag among the customers of its priority class for excess capacity, which other customers leave unused.
    Weight excessTag = 0;
    /// \brief Number of the current busy period; an overcharge of an earlier one is not refunded.
    std::uint64_t busyPeriod = 0;
    /// \brief Total service at this endpoint since its start.
    Weight served = 0;
    /// \brief Last known service at other endpoints; see Scheduler::setRemoteService.
    Weight remoteServed = 0;
    /// \brief Value of `served` at the last report of remote service.
    Weight servedAtReport = 0;
    /// \brief Amount by which remote service has fallen, at most one round; growth up to this amount is not counted.
    Weight remoteDeficit = 0;

    WaitCorrection waitCorrection;
    /// \brief Time since which the last waiting request has been expected to miss its deadline.
    std::optional<Time> infeasibleSince;

    /// \brief Virtual time that \a weight takes at the customer's share; a share of zero counts as one millionth.
    [[nodiscard]] Weight virtualTimeOf(Weight weight) const
    {
        return multiplyDivide(weight, FULL_SHARE, share);
    }

    [[nodiscard]] Time headDeadline() const
    {
        return waiting.front().request.startDeadline;
    }
};

/// \brief Indexes the customers with waiting requests by the sort key of each scheduling rule.
///
/// Customers are identified by their position in the order of ids, so that a replay breaks ties in the same way.
class CustomerOrder
{
public:
    using Position = std::size_t;

    void insert(Position position, const CustomerQueue &customer, Weight totalService);
    /// \brief Removes \a customer; its tags and first request must not have changed since insert().
    void erase(Position position, const CustomerQueue &customer);
    void clear();

    [[nodiscard]] bool empty() const
    {
        return byExcessTag_.empty();
    }

    /// \brief The customer furthest behind its share; empty if it is not more than \a limit behind.
    [[nodiscard]] std::optional<Position> furthestBehind(Weight limit, Weight totalService) const
    {
        if (byShareTag_.empty() || totalService - byShareTag_.begin()->first <= limit) {
            return std::nullopt;
        }
        return byShareTag_.begin()->second;
    }

    /// \brief Moves customers whose share tag \a totalService has reached to the index of those below their share.
    void advance(const std::vector<CustomerQueue> &customers, Weight totalService);

    /// \brief The customer below its share with the earliest deadline; empty if all have received their share.
    std::optional<Position> earliestBelowShare(const std::vector<CustomerQueue> &customers, Weight totalService);

    /// \brief Weight that customers below their share with a deadline before \a deadline are served until they reach their share.
    [[nodiscard]] Weight owedBefore(const std::vector<CustomerQueue> &customers, Weight totalService, Time deadline) const;

    /// \brief The customer that is served next from excess capacity.
    [[nodiscard]] Position nextForExcess() const
    {
        return byExcessTag_.begin()->second;
    }

    /// \brief Sum of the shares of the customers with waiting requests.
    [[nodiscard]] std::int64_t waitingShares() const
    {
        return waitingShares_;
    }

    /// \brief Highest priority of a waiting request; requires that empty() is false.
    [[nodiscard]] int topPriority() const
    {
        return -byExcessTag_.begin()->first.negatedPriority;
    }

    /// \brief Sum of the shares of the customers with waiting requests of \a priority.
    [[nodiscard]] std::int64_t classShares(int priority) const;

private:
    using Tag = std::pair<Weight, Position>;

    /// \brief Sort key with the negated priority first, so that the highest priority class comes first.
    struct ExcessKey {
        int negatedPriority;
        Weight tag;
        auto operator<=>(const ExcessKey &) const = default;
    };

    std::set<Tag> byShareTag_;
    /// \brief Customers that have received their share, by the total service at which they fall below it again.
    std::set<Tag> aboveShare_;
    /// \brief Customers below their share by deadline; among equal deadlines those furthest behind come first.
    std::set<std::pair<Time, Tag>> belowShare_;
    std::set<std::pair<ExcessKey, Position>> byExcessTag_;
    std::map<int, std::int64_t> classShares_;
    std::int64_t waitingShares_ = 0;
};

} // namespace mimosatally::internal
