#pragma once

#include <mimosatally/Routing>
#include <mimosatally/Serving>

#include <span>
#include <vector>

namespace mimosatally::internal
{

/// \brief Returns the ids of the parts that a prompt shares with others, all but the last, in hexadecimal and in their order; `-` if there are none.
[[nodiscard]] std::string sharedPartsText(std::span<const PromptPart> parts);

/// \brief Call that was in flight at a crash.
struct CrashedCall {
    RequestId id;
    /// \brief See requestHash(); the same for each attempt of the caller.
    std::uint64_t requestHash = 0;
};

/// \brief Passes crashes and answers on to CrashSuspects, with log lines and metrics.
class CrashWatch
{
public:
    CrashWatch(CrashSuspects &suspects, Metrics &metrics);

    /// \brief Records that an endpoint ended before it sent anything for \a call.
    void recordCrash(const CrashedCall &call, const EndpointRecord &endpoint, std::span<const PromptPart> parts, Time now);
    void recordAnswered(const RequestId &request, std::span<const PromptPart> parts, Time now);
    void recordNotice(const SuspectNotice &notice, Time now);

    /// \brief Sets the metrics; to be called each second.
    void update(Time now);

private:
    /// \brief Bounds the metrics; the log has the others.
    static constexpr std::size_t MAX_PARTS_IN_METRICS = 16;

    void logBlocked(std::uint64_t part, const char *source, Time now);

    CrashSuspects &suspects_;
    Metrics &metrics_;
    std::vector<std::string> withMetrics_;
};

} // namespace mimosatally::internal
