#include "submitwatch.h"

namespace mimosatally::internal
{

void SubmitWatch::start(IncarnationId agent, bool mayAbandon)
{
    agent_ = std::move(agent);
    mayAbandon_ = mayAbandon;
}

kj::Promise<SubmitWatch::SubmitResponse> SubmitWatch::whenEnded()
{
    auto pair = kj::newPromiseAndFulfiller<SubmitResponse>();
    fulfiller_ = kj::mv(pair.fulfiller);
    if (callerGone_) {
        callerDisconnected();
    }
    return kj::mv(pair.promise);
}

void SubmitWatch::callerDisconnected()
{
    callerGone_ = true;
    end("the caller is gone");
}

void SubmitWatch::agentSilent(const IncarnationId &agent)
{
    if (mayAbandon_ && agent == agent_) {
        end("the agent is silent");
    }
}

void SubmitWatch::answerRelayed()
{
    mayAbandon_ = false;
}

bool SubmitWatch::isCallerGone() const
{
    return callerGone_;
}

void SubmitWatch::end(const char *reason)
{
    if (fulfiller_.get() != nullptr && fulfiller_->isWaiting()) {
        fulfiller_->reject(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason)));
    }
}

} // namespace mimosatally::internal
