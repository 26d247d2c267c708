#pragma once

#include "endpointclient.h"
#include "requestqueue.h"

#include <mimosatally/Authority>
#include <mimosatally/LogService>
#include <mimosatally/Supervision>

#include <set>
#include <string>

namespace mimosatally::internal
{

/// \brief What became of an order.
struct OrderResult {
    bool accepted = false;
    /// \brief Empty for an accepted order.
    std::string reason;
    Epoch highestEpoch = Epoch(-1);
};

/// \brief Carries out orders for the endpoint through OrderGate: reads stream `authority`, lets running requests finish
/// where the order would cut them off, writes the order, and reads the endpoint's state back.
class OrderRunner
{
public:
    /// \param maxLifetime bound on the lifetime of orders; the same for all incarnations of the agent, since the first
    /// order waits so long for what a predecessor may have sent.
    OrderRunner(boost::asio::io_context &io,
                IncarnationId incarnation,
                Duration maxLifetime,
                LogClient &log,
                EndpointClient &endpoint,
                RequestQueue &queue,
                AgentDecisions &decisions);

    void setScopes(std::set<LeaseScope> scopes);

    /// \brief Called for orders that concern the agent itself: drain and withdraw.
    void onLeave(std::function<void(std::string)> callback);

    boost::asio::awaitable<OrderResult> execute(Order order);

    /// \brief Task of the supervisor: reads the endpoint's state back after each order and at the start.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Whether an order is being decided or carried out.
    [[nodiscard]] bool isBusy() const;

    /// \brief The endpoint could not be reached; it may have crashed in the middle of an order.
    void noteEndpointLost();

private:
    boost::asio::awaitable<bool> readAuthority();
    boost::asio::awaitable<void> waitUntilIdle();
    boost::asio::awaitable<OrderResult> write(Order order);
    boost::asio::awaitable<void> sleep(Duration length);
    boost::asio::awaitable<bool> readBack();
    void resume();
    OrderResult refuse(const Order &order, const std::string &reason);
    void record(const Order &order, const std::string &reason);

    boost::asio::io_context &io_;
    LogClient &log_;
    EndpointClient &endpoint_;
    RequestQueue &queue_;
    AgentDecisions &decisions_;
    OrderGate gate_;
    std::function<void(std::string)> onLeave_;
    std::shared_ptr<TaskContext> task_;
};

} // namespace mimosatally::internal
