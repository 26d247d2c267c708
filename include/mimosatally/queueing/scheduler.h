#pragma once

#include <mimosatally/Config>

#include <memory>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief Prompt and output tokens of one request.
struct TokenUsage {
    Tokens prompt;
    Tokens output;

    bool operator==(const TokenUsage &) const = default;
};

/// \brief Request as queued by a Scheduler.
struct QueuedRequest {
    RequestId id;
    CustomerId customer;
    /// \brief Prompt tokens and expected output tokens.
    TokenUsage expected;
    /// \brief Latest start of service: the receipt time plus the contract's longest wait.
    Time startDeadline;
};

enum class RefusalReason {
    /// \brief The queue is too long for the customer's longest wait.
    WaitTooLong,
    /// \brief The start deadline passed while the request was waiting.
    DeadlinePassed,
    UnknownCustomer,
    /// \brief The endpoint is leaving.
    Leaving,
};

/// \brief Returns the name of the reason in records, logs and refusal bodies, for example `wait-too-long`.
std::string_view toString(RefusalReason reason);

struct Refusal {
    RequestId id;
    RefusalReason reason;
    /// \brief Time after which a retry is expected to succeed, derived from the queue; empty if a retry cannot succeed.
    std::optional<Duration> retryAfter;
};

enum class CancelWord {
    /// \brief The request has not started and never will.
    NeverStarted,
    Started,
    Finished,
};

/// \brief Nominal capacity of the endpoint.
struct EndpointCapacity {
    int maxConcurrentRequests = 1;
    std::int64_t prefillTokensPerSecond = 1;
    std::int64_t decodeTokensPerSecond = 1;
};

struct QueueLoad {
    std::size_t waitingRequests = 0;
    std::size_t runningRequests = 0;
    Tokens waitingTokens;
    Tokens runningTokens;
};

/// \brief Weighted tokens that a customer has been served.
struct CustomerService {
    CustomerId customer;
    std::int64_t weightedTokens = 0;
};

/// \brief Selects the waiting request that an endpoint serves next, based only on the customers' contracts.
///
/// Deterministic: the same calls with the same arguments give the same results, so that AuditVerifier can replay them.
/// For the same reason it uses integer arithmetic only.
class Scheduler
{
public:
    class Builder;
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// \return the refusal; empty if the request was queued.
    std::optional<Refusal> enqueue(const QueuedRequest &request, Time now);

    /// \brief Moves the next request from waiting to running; empty if none is waiting or all slots are taken.
    std::optional<RequestId> dispatchNext(Time now);

    /// \brief Removes waiting requests that have missed or are expected to miss their start deadline.
    /// \return all refusals of queued requests since the last call.
    std::vector<Refusal> expire(Time now);

    /// \brief Ends a running request and replaces its expected usage by the actual one in the customer's service.
    void complete(const RequestId &request, TokenUsage actual, Time now);

    /// \brief Removes a waiting request; a running one stays until complete().
    CancelWord cancel(const RequestId &request, Time now);

    /// \brief Replaces contracts and token costs; waiting requests keep their deadlines.
    void applyContracts(const std::vector<Contract> &contracts, TokenCosts costs, Time now);

    /// \brief Sets the service that customers have received at other endpoints of the same model, so that shares hold across endpoints.
    void setRemoteService(const std::vector<CustomerService> &served, Time now);

    [[nodiscard]] QueueLoad load() const;
    [[nodiscard]] std::vector<CustomerService> service() const;

    /// \brief Returns the earliest start deadline of a waiting request; empty if none is waiting.
    [[nodiscard]] std::optional<Time> nextDeadline() const;

private:
    struct Impl;
    explicit Scheduler(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

class Scheduler::Builder
{
public:
    Builder &capacity(EndpointCapacity capacity);
    Builder &contracts(std::vector<Contract> contracts);
    Builder &tokenCosts(TokenCosts costs);
    [[nodiscard]] Scheduler build() const;

private:
    EndpointCapacity capacity_;
    std::vector<Contract> contracts_;
    TokenCosts costs_;
};

} // namespace mimosatally
