#pragma once

#include <mimosatally/Http>
#include <mimosatally/Routing>
#include <mimosatally/Serving>

#include <vector>

namespace mimosatally::internal
{

/// \brief What may be blamed if an endpoint crashes with one call: the shared parts of its prompt and the request, which is hashed only when it is needed.
class CallSuspects
{
public:
    /// \param request must outlive this object.
    CallSuspects(const CrashSuspects &suspects, const HttpRequest &request, std::vector<PromptPart> prompt);

    /// \brief Returns the shared parts of the prompt.
    [[nodiscard]] std::vector<SuspectId> parts() const;

    /// \brief Returns the shared parts and the request.
    const std::vector<SuspectId> &all() const;

    /// \brief Returns the same without the request if no request is suspected, since the hash of a long body takes time.
    const std::vector<SuspectId> &known() const;

private:
    const CrashSuspects &suspects_;
    const HttpRequest &request_;
    std::vector<PromptPart> prompt_;
    mutable std::vector<SuspectId> ids_;
    mutable bool requestIdentified_ = false;
};

} // namespace mimosatally::internal
