#include "callsuspects.h"
#include "requesthash.h"

#include <utility>

namespace mimosatally::internal
{

CallSuspects::CallSuspects(const CrashSuspects &suspects, const HttpRequest &request, std::vector<PromptPart> prompt)
    : suspects_(suspects)
    , request_(request)
    , prompt_(std::move(prompt))
    , ids_(sharedParts(prompt_))
{
}

std::vector<SuspectId> CallSuspects::parts() const
{
    return sharedParts(prompt_);
}

const std::vector<SuspectId> &CallSuspects::all() const
{
    if (!requestIdentified_) {
        requestIdentified_ = true;
        ids_.push_back(suspectOfRequest(requestHash(request_, prompt_)));
    }
    return ids_;
}

const std::vector<SuspectId> &CallSuspects::known() const
{
    return suspects_.suspectsRequests() ? all() : ids_;
}

} // namespace mimosatally::internal
