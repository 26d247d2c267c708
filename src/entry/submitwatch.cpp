#include "submitwatch.h"

namespace mimosatally::internal
{

void SubmitWatch::start(IncarnationId agent, bool canAbandon)
{
    agent_ = std::move(agent);
    canAbandon_ = canAbandon;
}

kj::Promise<SubmitWatch::SubmitResponse> SubmitWatch::whenCancelled()
{
    auto pair = kj::newPromiseAndFulfiller<SubmitResponse>();
    fulfiller_ = kj::mv(pair.fulfiller);
    if (callerDisconnected_) {
        recordCallerDisconnected();
    }
    return kj::mv(pair.promise);
}

void SubmitWatch::recordCallerDisconnected()
{
    callerDisconnected_ = true;
    cancel("the caller disconnected");
}

void SubmitWatch::recordAgentUnresponsive(const IncarnationId &agent)
{
    if (canAbandon_ && agent == agent_) {
        cancel("the agent is not responding");
    }
}

void SubmitWatch::recordAnswerRelayed()
{
    canAbandon_ = false;
}

bool SubmitWatch::isCallerDisconnected() const
{
    return callerDisconnected_;
}

void SubmitWatch::cancel(const char *reason)
{
    if (fulfiller_.get() != nullptr && fulfiller_->isWaiting()) {
        fulfiller_->reject(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason)));
    }
}

} // namespace mimosatally::internal
