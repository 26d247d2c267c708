#pragma once

#include <mimosatally/Routing>
#include <mimosatally/Serving>

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace mimosatally::internal
{

/// \brief Returns the ids of the parts that a prompt shares with others, all but the last, in hexadecimal and in their order; `-` if there are none.
[[nodiscard]] std::string sharedPartsText(std::span<const PromptPart> parts);

/// \brief Returns suspects in hexadecimal, `/` between them; `-` if there are none.
[[nodiscard]] std::string suspectsText(std::span<const SuspectId> suspects);

/// \brief Passes crashes and answers on to CrashSuspects, with log lines and metrics.
class CrashWatch
{
public:
    CrashWatch(CrashSuspects &suspects, Metrics &metrics);

    /// \brief Records that an endpoint ended while it was running \a request. \param sinceFirstByte time from the first byte of the answer's body; empty if
    /// there was none.
    void recordCrash(
        const RequestId &request, const EndpointRecord &endpoint, std::span<const SuspectId> suspects, std::optional<Duration> sinceFirstByte, Time now);
    void recordAnswered(const RequestId &request, std::span<const SuspectId> suspects, Time now);
    void recordNotice(const SuspectNotice &notice, Time now);

    /// \brief Blocks requests whose evidence has settled; to be called several times a second.
    void decide(Time now);

    /// \brief Sets the metrics; to be called each second.
    void update(Time now);

private:
    /// \brief Bounds the metrics; the log has the others.
    static constexpr std::size_t MAX_SUSPECTS_IN_METRICS = 16;

    void logBlocked(SuspectId suspect, const char *source, Time now);

    CrashSuspects &suspects_;
    Metrics &metrics_;
    /// \brief Names and labels of the metrics of blocked suspects.
    std::vector<std::pair<std::string, std::string>> withMetrics_;
};

} // namespace mimosatally::internal
