#pragma once

#include "mimosatally.capnp.h"

#include <kj/async.h>
#include <mimosatally/Core>

namespace mimosatally::internal
{

/// \brief Ends the wait for a submit when its caller goes away or its agent falls silent.
class SubmitWatch
{
public:
    using SubmitResponse = capnp::Response<schema::Agent::SubmitResults>;

    /// \brief Starts to watch an attempt at \a agent. \param mayAbandon whether the call may go to another agent.
    void start(IncarnationId agent, bool mayAbandon);

    /// \brief Promise that is rejected when the wait has to end. Call after start().
    kj::Promise<SubmitResponse> whenEnded();

    void callerDisconnected();

    /// \brief The agent is silent; has no effect if the attempt is at another agent, on a call that may not be repeated, or
    /// if the caller is getting the answer.
    void agentSilent(const IncarnationId &agent);

    /// \brief A part of the answer goes to the caller, so no other agent can answer any more.
    void answerRelayed();

    [[nodiscard]] bool isCallerGone() const;

private:
    void end(const char *reason);

    kj::Own<kj::PromiseFulfiller<SubmitResponse>> fulfiller_;
    IncarnationId agent_;
    bool callerGone_ = false;
    bool mayAbandon_ = false;
};

} // namespace mimosatally::internal
