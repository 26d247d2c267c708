#pragma once

#include "mimosatally.capnp.h"

#include <kj/async.h>
#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Cancels the wait for an agent's response to a submit when the caller disconnects or the agent stops responding.
class SubmitWatch
{
public:
    using SubmitResponse = capnp::Response<schema::Agent::SubmitResults>;

    /// \brief Starts watching an attempt at \a agent. \param canAbandon true if the call may be sent to another agent.
    void start(IncarnationId agent, bool canAbandon);

    /// \brief Promise that is rejected when the wait is cancelled. Call after start().
    kj::Promise<SubmitResponse> whenCancelled();

    void recordCallerDisconnected();

    /// \brief Cancels the wait if the attempt is at \a agent and can be abandoned: the call may be repeated and none of the answer
    /// has been relayed.
    void recordAgentUnresponsive(const IncarnationId &agent);

    /// \brief Part of the answer is being relayed to the caller, so the call can no longer be sent to another agent.
    void recordAnswerRelayed();

    [[nodiscard]] bool isCallerDisconnected() const;

private:
    void cancel(const char *reason);

    kj::Own<kj::PromiseFulfiller<SubmitResponse>> fulfiller_;
    IncarnationId agent_;
    bool callerDisconnected_ = false;
    bool canAbandon_ = false;
};

} // namespace mimosatally::internal
