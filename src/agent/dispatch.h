#pragma once

#include "answerwriter.h"
#include "endpointclient.h"
#include "usagemeter.h"

#include <memory>

namespace mimosatally::internal
{

/// \brief Runs one dispatched request at the endpoint and passes the answer on.
///
/// The answer of a call that may not be repeated is held back up to a bound, so that its outcome can be recorded first.
class Dispatch
{
public:
    Dispatch(EndpointClient &endpoint, std::shared_ptr<AgentRequest> request, std::shared_ptr<AnswerWriter> writer);

    /// \brief Runs the request to its end. Errors of the endpoint become outcomes.
    boost::asio::awaitable<RequestOutcome> run();

    /// \brief Sends the part of the answer that was held back.
    boost::asio::awaitable<void> release();

    [[nodiscard]] const std::string &contentType() const;

    /// \brief The whole answer, if all of it is held back.
    [[nodiscard]] const std::string *heldAnswer() const;

private:
    boost::asio::awaitable<void> takeHead(const HttpResponse &head);
    boost::asio::awaitable<void> takeData(std::string_view data);
    boost::asio::awaitable<void> beginAnswer();
    boost::asio::awaitable<void> send(std::string_view data);
    void throwIfAbandoned() const;
    void describe(RequestOutcome &outcome) const;

    EndpointClient &endpoint_;
    std::shared_ptr<AgentRequest> request_;
    std::shared_ptr<AnswerWriter> writer_;
    UsageMeter meter_;
    unsigned status_ = 0;
    std::string contentType_;
    std::string held_;
    bool holds_;
    bool begun_ = false;
    bool rejected_ = false;
    bool sinkGone_ = false;
};

} // namespace mimosatally::internal
