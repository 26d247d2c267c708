#pragma once

#include "mimosatally.capnp.h"
#include "requestservice.h"

#include <mimosatally/Authority>

namespace mimosatally::internal
{

class AgentNode;

/// \brief RPC interface of the agent: checks the fields of messages and translates them into calls of AgentNode.
class RpcAgent final : public schema::Agent::Server
{
public:
    explicit RpcAgent(AgentNode &node);

protected:
    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> submit(SubmitContext context) override;
    kj::Promise<void> cancel(CancelContext context) override;
    kj::Promise<void> order(OrderContext context) override;

private:
    AgentNode &node_;
};

/// \brief Reads the fields of a submit. \throws MalformedInputError
std::shared_ptr<AgentRequest> readRequest(boost::asio::io_context &io, schema::Request::Reader message, Time now);

/// \throws MalformedInputError
Order readOrder(schema::Order::Reader message);

void writeOutcome(const RequestOutcome &outcome, ConfigurationVersion version, schema::Outcome::Builder message);

} // namespace mimosatally::internal
