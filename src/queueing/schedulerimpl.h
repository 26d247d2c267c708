#pragma once

#include "customerqueue.h"
#include "servicespeed.h"

#include <limits>
#include <unordered_map>

namespace mimosatally
{

/// \brief State of a Scheduler.
///
/// The total service is the sum of all weighted tokens served; it is the virtual time of the contract shares. A customer's
/// share tag advances by weight / share for each request that is served as part of its share. Excess capacity, which other
/// customers leave unused, does not advance the share tag, so using it does not reduce later service.
struct Scheduler::Impl {
    using Position = internal::CustomerOrder::Position;
    using Weight = internal::Weight;

    /// \brief Value of RunningRequest::customer if the customer no longer has a contract.
    static constexpr Position REMOVED_CUSTOMER = std::numeric_limits<Position>::max();

    struct WaitingEntry {
        Position customer;
        std::list<internal::WaitingRequest>::iterator request;
    };

    struct RunningRequest {
        Position customer = 0;
        Weight weight = 0;
        std::int64_t engineMicros = 0;
        Tokens tokens;
        /// \brief True if it was served as part of the share, false if from excess capacity.
        bool withinShare = false;
        std::uint64_t busyPeriod = 0;
    };

    /// \brief Weight by which a customer's service at other endpoints exceeds (negative: falls short of) its share of that service.
    struct RemoteCorrection {
        Weight deviation = 0;
        /// \brief Part of the deviation that this endpoint corrects.
        Weight weight = 0;
    };

    Impl(EndpointCapacity endpointCapacity, const std::vector<Contract> &contracts, TokenCosts tokenCosts);

    [[nodiscard]] Weight weightOf(TokenUsage usage) const;
    [[nodiscard]] std::optional<Position> findCustomer(const CustomerId &customer) const;

    void append(Position position, internal::WaitingRequest waiting);
    /// \brief Removes a waiting request from its queue and all indexes.
    internal::WaitingRequest remove(const WaitingEntry &entry);
    void removeFromOrder(Position position);
    void addToOrder(Position position);

    /// \brief Moves requests whose deadline has passed to `pendingRefusals`.
    void dropOverdue(Time now);
    /// \brief Refuses waiting requests that are expected to miss their deadlines, for a few customers per call.
    void dropInfeasible(Time now);
    void dropInfeasibleTail(Position position, Time now);
    [[nodiscard]] bool isTailInfeasible(Position position, Time now) const;
    [[nodiscard]] Position selectCustomer(bool &withinShare);
    void charge(Position position, Weight weight, bool withinShare);
    void correct(const RunningRequest &running, Weight actual);

    /// \brief Expected wait of a request of the customer that is behind \a ownWeight of its own waiting requests.
    [[nodiscard]] Duration expectedWait(Position position, Weight ownWeight, Time deadline) const;
    /// \brief Expected wait from the queue alone, without WaitCorrection.
    [[nodiscard]] Duration queueWait(Position position, Weight ownWeight, Time deadline) const;
    /// \brief Weight that is served before a request of \a customer that is behind \a ownWeight of its own waiting requests.
    [[nodiscard]] Weight weightAhead(const internal::CustomerQueue &customer, Weight ownWeight, Time deadline) const;
    /// \brief Engine time of the weight \a ahead, up to \a ownWeight of which are the customer's own waiting requests.
    [[nodiscard]] std::int64_t microsAhead(const internal::CustomerQueue &customer, Weight ahead, Weight ownWeight) const;
    /// \brief Weight served to all customers until the share of \a customer covers \a ownWeight.
    [[nodiscard]] Weight weightUntilEntitled(const internal::CustomerQueue &customer, Weight ownWeight) const;
    [[nodiscard]] Refusal makeRefusal(const internal::WaitingRequest &waiting, RefusalReason reason, Duration wait, Time now) const;

    void replaceCustomers(const std::vector<Contract> &contracts);
    void remapRequests(const std::vector<internal::CustomerQueue> &old);
    void updateRoundWeight();
    /// \brief Growth of the service at other endpoints since the last report.
    [[nodiscard]] Weight remoteGrowth(internal::CustomerQueue &customer, Weight served) const;
    /// \brief Deviation of the service at other endpoints since the last report from the customer's share of it.
    ///
    /// All endpoints see the same deviation, one report late. Each corrects only the part in proportion to its own service; if each corrected
    /// all of it, they would overshoot together.
    [[nodiscard]] RemoteCorrection remoteCorrection(internal::CustomerQueue &customer, Weight growth, Weight totalGrowth, Weight localTotal) const;
    /// \brief Scales up the side (ahead or behind) with the smaller sum to the sum of the other, each correction limited by its deviation.
    ///
    /// Unequal sums would shift all tags relative to the total service, and a customer that is behind by less than this shift would no
    /// longer be preferred.
    static void balanceCorrections(std::vector<RemoteCorrection> &corrections);
    /// \brief Moves the share tag by a balanced correction, within the limits given in rounds.
    void applyRemoteCorrection(internal::CustomerQueue &customer, Weight correction) const;

    EndpointCapacity capacity;
    TokenCosts costs;
    internal::ServiceSpeed speed;
    /// \brief Weighted tokens of about one second at full load; one round, the unit of the lag and lead limits.
    Weight roundWeight = 1;

    std::vector<internal::CustomerQueue> customers;
    internal::CustomerOrder order;
    std::unordered_map<RequestId, WaitingEntry> waiting;
    std::map<std::pair<Time, std::uint64_t>, RequestId> deadlines;
    std::unordered_map<RequestId, RunningRequest> running;
    /// \brief Refusals that the next expire() returns.
    std::vector<Refusal> pendingRefusals;

    Weight totalService = 0;
    /// \brief Value of `totalService` at the last report of service at other endpoints.
    Weight totalServiceAtReport = 0;
    /// \brief Start tag of the last request served from excess capacity, by priority.
    std::map<int, Weight> excessVirtualTime;
    std::uint64_t nextArrivalNumber = 0;
    Position lastReviewed = 0;

    Weight waitingWeight = 0;
    std::int64_t waitingMicros = 0;
    Tokens waitingTokens;
    Weight runningWeight = 0;
    std::int64_t runningMicros = 0;
    Tokens runningTokens;
};

} // namespace mimosatally
