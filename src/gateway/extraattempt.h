#pragma once

#include "endpointcall.h"
#include "gatewaystate.h"

#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace mimosatally::internal
{

/// \brief Second attempt of a plain call whose first attempt is slow, with its own connection, guard and router ticket.
///
/// It never writes to the caller: the call takes its answer. It keeps a copy of the request, so it may outlive the call for the moment that the end of its
/// connection takes.
class ExtraAttempt : public std::enable_shared_from_this<ExtraAttempt>
{
public:
    enum class Result {
        Running,
        /// \brief takeResponse() has a whole answer.
        Answered,
        Failed,
        /// \brief Ended by stop().
        Stopped,
    };

    /// \brief What is sent, and where.
    struct Plan {
        EndpointRecord record;
        EndpointId endpoint;
        HttpRequest request;
        RequestId id;
        EndpointAttempt attempt;
        PlacementRequest placement;
        /// \brief Deadline of the call, and end of this attempt.
        Time deadline;
        Time attemptDeadline;
    };

    ExtraAttempt(GatewayState &gateway, Plan plan);

    /// \param ended called once, when the result is known; not called after stop().
    void start(std::function<void()> ended);

    /// \brief Closes the connection at once.
    void stop();

    [[nodiscard]] Result result() const;
    /// \brief Returns whether the endpoint may have run the call.
    [[nodiscard]] bool mayHaveRun() const;
    /// \brief Returns whether the endpoint has received the call, at least in part.
    [[nodiscard]] bool wasReceived() const;
    [[nodiscard]] HttpResponse takeResponse();
    [[nodiscard]] EndpointCall &call();
    [[nodiscard]] const EndpointRecord &record() const;
    [[nodiscard]] const EndpointId &endpoint() const;
    /// \brief Returns the time that the endpoint has worked on it so far.
    [[nodiscard]] Duration workTime(Time now) const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> receiveAnswer();
    [[nodiscard]] AttemptOutcome failedOutcome() const;

    GatewayState &gateway_;
    Plan plan_;
    std::shared_ptr<CallGuard> guard_;
    EndpointCall call_;
    std::function<void()> ended_;
    Time startedAt_;
    std::optional<Time> endedAt_;
    HttpResponse response_;
    Result result_ = Result::Running;
    bool received_ = false;
    /// \brief True until the opposite is known.
    bool mayHaveRun_ = true;
};

} // namespace mimosatally::internal
