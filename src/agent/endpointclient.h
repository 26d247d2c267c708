#pragma once

#include "agentrequest.h"

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief State of the endpoint according to its last load report.
struct EndpointReport {
    bool healthy = false;
    Time receivedAt;
    /// \brief Age of the report's data when it was received, as stated by the endpoint.
    Duration age = Duration(0);
    std::int64_t freeCacheBlocks = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    std::string role;
    std::vector<ModelId> models;
    bool orderInProgress = false;
    std::string lastOrder;
};

/// \brief Order as it is sent to the endpoint.
struct EndpointOrder {
    std::string id;
    std::string kind;
    std::string argument;
    Epoch epoch;
};

enum class EndpointOrderResult {
    Done,
    /// \brief The endpoint refused the order or could not be connected to; the order had no effect.
    Refused,
    /// \brief No answer was received; the order may have taken effect.
    Unknown,
};

/// \brief HTTP client of the agent's endpoint. Each call has a connection of its own (docs/answers.md).
class EndpointClient
{
public:
    EndpointClient(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address);

    /// \throws UnreachableError, MalformedInputError
    boost::asio::awaitable<EndpointReport> report(Duration timeout);

    /// \brief Sends a request and passes its answer to the handlers. \throws UnreachableError, or ConnectError if it was not sent.
    boost::asio::awaitable<StreamedBody> dispatch(const AgentRequest &request, HttpClient::HeadHandler onHead, HttpClient::DataHandler onData);

    /// \brief Returns whether the endpoint answers a request that is sent now, whatever the answer is. An accepted connection would not show that its process
    /// is still there, since the system accepts connections until the listening socket is closed.
    boost::asio::awaitable<bool> isAlive();

    /// \brief Asks an engine to cancel a request; errors are only logged, since the end of the answer decides the outcome.
    boost::asio::awaitable<void> cancel(RequestId id);

    boost::asio::awaitable<EndpointOrderResult> order(EndpointOrder order, Duration timeout);

private:
    HttpClient client_;
};

} // namespace mimosatally::internal
