#pragma once

#include "agentrequest.h"

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <string>
#include <vector>

namespace mimosatally::internal
{

/// \brief What the endpoint states about itself in its last report.
struct EndpointReport {
    bool healthy = false;
    Time at;
    /// \brief Lag that the endpoint itself states.
    Duration lag = Duration(0);
    std::int64_t freeCacheBlocks = 0;
    double prefillTokensPerSecond = 0;
    double decodeTokensPerSecond = 0;
    std::string role;
    std::vector<ModelId> models;
    bool orderInProgress = false;
    std::string lastOrder;
};

/// \brief An order in the form that the endpoint takes.
struct EndpointOrder {
    std::string id;
    std::string kind;
    std::string argument;
    Epoch epoch;
};

enum class EndpointVerdict {
    Done,
    /// \brief The endpoint refused the order and did nothing.
    Refused,
    /// \brief No answer came; the order may have taken effect.
    Unknown,
};

/// \brief HTTP client of the agent's endpoint.
class EndpointClient
{
public:
    /// \param maxConcurrentRequests number of connections that are kept for reuse.
    EndpointClient(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address, std::size_t maxConcurrentRequests);

    /// \throws UnreachableError, MalformedInputError
    boost::asio::awaitable<EndpointReport> report(Duration timeout);

    /// \brief Sends a request and passes its answer on. \throws UnreachableError, or ConnectError if it was not sent.
    boost::asio::awaitable<void> dispatch(const AgentRequest &request, HttpClient::HeadHandler onHead, HttpClient::DataHandler onData);

    /// \brief Asks an engine to cancel a request; errors are ignored, since the answer's end is what counts.
    boost::asio::awaitable<void> cancel(RequestId id);

    boost::asio::awaitable<EndpointVerdict> order(EndpointOrder order, Duration timeout);

private:
    HttpClient client_;
    /// \brief Reports, cancels and orders must not wait behind requests for connections.
    HttpClient control_;
};

} // namespace mimosatally::internal
