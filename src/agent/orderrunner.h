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

/// \brief Result of an order.
struct OrderResult {
    bool accepted = false;
    /// \brief Empty for an accepted order.
    std::string reason;
    Epoch highestEpoch = Epoch(-1);
};

/// \brief Executes orders for the endpoint with the checks of OrderGate: reads stream `authority`, waits for running requests
/// if the order would interrupt them, writes the order, and reads the endpoint's state back.
class OrderRunner
{
public:
    /// \param maxLifetime upper bound on the lifetime of orders; the same for all incarnations of the agent, since the first
    /// order waits this long for orders that the previous incarnation may have sent.
    OrderRunner(boost::asio::io_context &io,
                IncarnationId incarnation,
                Duration maxLifetime,
                LogClient &log,
                EndpointClient &endpoint,
                RequestQueue &queue,
                AgentDecisions &decisions);

    void setScopes(std::set<LeaseScope> scopes);

    /// \brief Sets the callback for orders that concern the agent itself: drain and withdraw.
    void onShutdown(std::function<void(std::string)> callback);

    boost::asio::awaitable<OrderResult> execute(Order order);

    /// \brief Supervised task that reads the endpoint's state back after each order and at the start.
    boost::asio::awaitable<void> run(TaskContext &context);

    /// \brief Returns true while an order is being checked or written.
    [[nodiscard]] bool isBusy() const;

    /// \brief Handles an unreachable endpoint, which may have crashed during an order.
    void handleEndpointLoss();

private:
    boost::asio::awaitable<bool> readAuthority();
    boost::asio::awaitable<void> waitUntilIdle();
    boost::asio::awaitable<OrderResult> write(Order order);
    boost::asio::awaitable<void> sleep(Duration duration);
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
    std::function<void(std::string)> onShutdown_;
    std::shared_ptr<TaskContext> task_;
};

} // namespace mimosatally::internal
