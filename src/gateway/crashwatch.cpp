#include "crashwatch.h"

#include <algorithm>
#include <sstream>

namespace mimosatally::internal
{

namespace
{
constexpr const char *SUSPECTS_METRIC = "mimosatally_suspect_parts";
constexpr const char *BLOCKED_METRIC = "mimosatally_blocked_part_crashes";
constexpr const char *BLOCKED_REQUEST_METRIC = "mimosatally_blocked_request_crashes";
constexpr const char *CRASHES_METRIC = "mimosatally_endpoint_crashes_seen_total";

std::string partText(std::uint64_t part)
{
    std::ostringstream text;
    text << std::hex << part;
    return text.str();
}
} // namespace

std::string sharedPartsText(std::span<const PromptPart> parts)
{
    constexpr std::size_t maxParts = 6;
    if (parts.size() < 2) {
        return "-";
    }
    std::string text;
    for (const PromptPart &part : parts.first(std::min(parts.size() - 1, maxParts))) {
        text += (text.empty() ? "" : "/") + partText(part.id);
    }
    return text;
}

std::string suspectsText(std::span<const SuspectId> suspects)
{
    std::string text;
    for (const SuspectId suspect : suspects) {
        text += (text.empty() ? "" : "/") + partText(suspect);
    }
    return text.empty() ? "-" : text;
}

CrashWatch::CrashWatch(CrashSuspects &suspects, Metrics &metrics)
    : suspects_(suspects)
    , metrics_(metrics)
{
}

void CrashWatch::recordCrash(
    const RequestId &request, const EndpointRecord &endpoint, std::span<const SuspectId> suspects, std::optional<Duration> sinceFirstByte, Time now)
{
    const std::vector<SuspectId> blocked = suspects_.recordCrash(crashIdOf(endpoint.id, endpoint.startedAt), suspects, now, sinceFirstByte);
    logEvent(LogEvent::EndpointCrashSeen,
             {{"request", request},
              {"endpoint", endpoint.id},
              {"started", endpoint.startedAt},
              {"after_first_byte_ms", sinceFirstByte ? std::to_string(sinceFirstByte->count()) : "-"},
              {"suspects", suspectsText(suspects)},
              {"suspected", suspects_.isSuspected(suspects) ? "true" : "false"}});
    metrics_.increment(CRASHES_METRIC);
    for (const SuspectId suspect : blocked) {
        logBlocked(suspect, "own", now);
    }
}

void CrashWatch::recordAnswered(const RequestId &request, std::span<const SuspectId> suspects, Time now)
{
    for (const SuspectId suspect : suspects_.recordAnswered(suspects, now)) {
        if (isRequestSuspect(suspect)) {
            logEvent(LogEvent::RequestCleared, {{"request", request}, {"suspect", partText(suspect)}});
        } else {
            logEvent(LogEvent::PromptPartCleared, {{"request", request}, {"part", partText(suspect)}});
        }
    }
}

void CrashWatch::recordNotice(const SuspectNotice &notice, Time now)
{
    const bool newlyBlocked = suspects_.recordNotice(notice, now);
    if (newlyBlocked) {
        logBlocked(notice.suspect, "peer", now);
    }
}

void CrashWatch::decide(Time now)
{
    for (const SuspectId suspect : suspects_.decide(now)) {
        logBlocked(suspect, "own", now);
    }
}

void CrashWatch::logBlocked(SuspectId suspect, const char *source, Time now)
{
    const std::vector<BlockedSuspect> blocked = suspects_.blocked(now);
    const auto found = std::ranges::find(blocked, suspect, &BlockedSuspect::suspect);
    const Duration untilProbe = found == blocked.end() ? Duration(0) : found->retryAfter;
    const bool isRequest = isRequestSuspect(suspect);
    logEvent(isRequest ? LogEvent::RequestBlocked : LogEvent::PromptPartBlocked,
             {{isRequest ? "suspect" : "part", partText(suspect)}, {"crashes", suspects_.crashesOf(suspect)}, {"source", source}, {"test_in_ms", untilProbe}});
}

void CrashWatch::update(Time now)
{
    for (const auto &[metric, label] : withMetrics_) {
        metrics_.removeGauge(metric, label);
    }
    withMetrics_.clear();
    metrics_.set(SUSPECTS_METRIC, {}, static_cast<double>(suspects_.suspectCount()));
    const std::vector<BlockedSuspect> blocked = suspects_.blocked(now);
    for (std::size_t i = 0; i < std::min(blocked.size(), MAX_SUSPECTS_IN_METRICS); ++i) {
        const SuspectId suspect = blocked[i].suspect;
        const bool isRequest = isRequestSuspect(suspect);
        withMetrics_.emplace_back(isRequest ? BLOCKED_REQUEST_METRIC : BLOCKED_METRIC, (isRequest ? "suspect=\"" : "part=\"") + partText(suspect) + '"');
        metrics_.set(withMetrics_.back().first, withMetrics_.back().second, blocked[i].crashes);
    }
}

} // namespace mimosatally::internal
