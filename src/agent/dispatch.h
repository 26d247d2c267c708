#pragma once

#include "answerwriter.h"
#include "endpointclient.h"
#include "usagemeter.h"

#include <memory>

namespace mimosatally::internal
{

/// \brief Runs one dispatched request at the endpoint and forwards the answer.
///
/// The answer of a request that may not be repeated is buffered up to a size limit, so that its outcome can be recorded first.
class Dispatch
{
public:
    Dispatch(EndpointClient &endpoint, std::shared_ptr<AgentRequest> request, std::shared_ptr<AnswerWriter> writer);

    /// \brief Runs the request to completion. Errors of the endpoint are returned as outcomes.
    boost::asio::awaitable<RequestOutcome> run();

    /// \brief Sends the buffered part of the answer.
    boost::asio::awaitable<void> sendBuffered();

    [[nodiscard]] const std::string &contentType() const;

    /// \brief Complete answer, or null if not all of it is buffered.
    [[nodiscard]] const std::string *bufferedAnswer() const;

private:
    boost::asio::awaitable<void> handleHead(const HttpResponse &head);
    boost::asio::awaitable<void> handleData(std::string_view data);
    boost::asio::awaitable<void> beginAnswer();
    /// \brief Returns whether the answer is whole (see completenessOf()).
    boost::asio::awaitable<bool> isWhole(StreamedBody body);
    boost::asio::awaitable<void> send(std::string_view data);
    void throwIfDisconnected() const;
    void fillOutcome(RequestOutcome &outcome) const;

    EndpointClient &endpoint_;
    std::shared_ptr<AgentRequest> request_;
    std::shared_ptr<AnswerWriter> writer_;
    UsageMeter meter_;
    unsigned status_ = 0;
    std::string contentType_;
    /// \brief Reads the events of a stream to find whether it ends within one.
    EventFramer framer_;
    bool eventStream_ = false;
    std::string buffer_;
    bool buffering_;
    bool answerBegun_ = false;
    bool rejected_ = false;
    bool sinkDisconnected_ = false;
};

} // namespace mimosatally::internal
