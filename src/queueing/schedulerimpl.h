#pragma once

#include "customerqueue.h"
#include "servicespeed.h"

#include <limits>
#include <unordered_map>

namespace mimosatally
{

/// \brief State of a Scheduler.
///
/// The total service is the sum of all weighted tokens served; it is the virtual time of the promised shares. A customer's
/// share tag advances by weight / share for each request that it is served as part of its share. Capacity that others leave
/// unused does not advance the share tag, so lending it out costs the borrower nothing later.
struct Scheduler::Impl {
    using Position = internal::CustomerOrder::Position;
    using Weight = internal::Weight;

    /// \brief Position of a running request whose customer has no contract any more.
    static constexpr Position REMOVED_CUSTOMER = std::numeric_limits<Position>::max();

    struct WaitingPlace {
        Position customer;
        std::list<internal::WaitingRequest>::iterator request;
    };

    struct RunningRequest {
        Position customer = 0;
        Weight weight = 0;
        std::int64_t engineMicros = 0;
        Tokens tokens;
        /// \brief Whether it was served as part of the share.
        bool withinShare = false;
        std::uint64_t busyPeriod = 0;
    };

    /// \brief Weight by which a customer's service at other endpoints exceeds its share of it (negative: falls short).
    struct RemoteCorrection {
        Weight deviation = 0;
        /// \brief Part of the deviation that this endpoint corrects.
        Weight weight = 0;
    };

    Impl(EndpointCapacity endpointCapacity, const std::vector<Contract> &contracts, TokenCosts tokenCosts);

    [[nodiscard]] Weight weightOf(TokenUsage usage) const;
    [[nodiscard]] std::optional<Position> findCustomer(const CustomerId &customer) const;

    void append(Position position, internal::WaitingRequest waiting);
    /// \brief Takes a waiting request out of all indexes.
    internal::WaitingRequest remove(const WaitingPlace &place);
    void removeFromOrder(Position position);
    void addToOrder(Position position);

    /// \brief Moves requests whose deadline has passed to `overdue`.
    void dropOverdue(Time now);
    /// \brief Gives up on waiting requests of a few customers whose queue no longer fits their deadlines.
    void dropHopeless(Time now);
    void dropHopelessTail(Position position, Time now);
    [[nodiscard]] bool tailIsHopeless(Position position, Time now) const;
    [[nodiscard]] Position selectCustomer(bool &withinShare);
    void charge(Position position, Weight weight, bool withinShare);
    void correct(const RunningRequest &running, Weight actual);

    /// \brief Expected wait of a request of the customer behind \a ownWeight of its own waiting requests.
    [[nodiscard]] Duration expectedWait(Position position, Weight ownWeight, Time deadline) const;
    /// \brief As expectedWait(), from the queue alone.
    [[nodiscard]] Duration queueWait(Position position, Weight ownWeight, Time deadline) const;
    [[nodiscard]] Weight weightAhead(const internal::CustomerQueue &customer, Weight ownWeight, Time deadline) const;
    /// \brief Engine time of \a ahead, of which the customer's own waiting requests are up to \a ownWeight.
    [[nodiscard]] std::int64_t microsAhead(const internal::CustomerQueue &customer, Weight ahead, Weight ownWeight) const;
    [[nodiscard]] Weight untilServedByShare(const internal::CustomerQueue &customer, Weight ownWeight) const;
    [[nodiscard]] Refusal refuseWaiting(const internal::WaitingRequest &waiting, RefusalReason reason, Duration wait, Time now) const;

    void replaceCustomers(const std::vector<Contract> &contracts);
    void remapRequests(const std::vector<internal::CustomerQueue> &old);
    void setRound();
    /// \brief Growth of the service at other endpoints since the last report.
    [[nodiscard]] Weight remoteGrowth(internal::CustomerQueue &customer, Weight served) const;
    /// \brief How far service at other endpoints since the last report was beyond (or below) the customer's share of it.
    ///
    /// All endpoints see the same deviation one report late. Each corrects the part of it that it serves itself; if each corrected
    /// all of it, they would overshoot together.
    [[nodiscard]] RemoteCorrection remoteCorrection(internal::CustomerQueue &customer, Weight growth, Weight totalGrowth, Weight localTotal) const;
    /// \brief Raises the smaller side to the sum of the other, up to each deviation: what one customer gains, others have to give up.
    ///
    /// Unequal sums would move all tags away from the total service, and a customer owed less than that would no longer be preferred.
    static void balanceCorrections(std::vector<RemoteCorrection> &corrections);
    /// \brief Moves the share tag by a balanced correction, within the limits of rounds.
    void addRemoteService(internal::CustomerQueue &customer, Weight correction) const;

    EndpointCapacity capacity;
    TokenCosts costs;
    internal::ServiceSpeed speed;
    /// \brief Weighted tokens of about one second of full use; the unit of all bounds.
    Weight roundWeight = 1;

    std::vector<internal::CustomerQueue> customers;
    internal::CustomerOrder order;
    std::unordered_map<RequestId, WaitingPlace> waiting;
    std::map<std::pair<Time, std::uint64_t>, RequestId> deadlines;
    std::unordered_map<RequestId, RunningRequest> running;
    std::vector<Refusal> overdue;

    Weight totalService = 0;
    /// \brief Value at the last report of service at other endpoints.
    Weight totalAtReport = 0;
    /// \brief Start tags of the last unused capacity served, by priority.
    std::map<int, Weight> unusedTime;
    std::uint64_t arrivals = 0;
    Position nextReview = 0;

    Weight waitingWeight = 0;
    std::int64_t waitingMicros = 0;
    Tokens waitingTokens;
    Weight runningWeight = 0;
    std::int64_t runningMicros = 0;
    Tokens runningTokens;
};

} // namespace mimosatally
