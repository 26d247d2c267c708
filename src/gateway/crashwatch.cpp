#include "crashwatch.h"

#include <algorithm>
#include <sstream>

namespace mimosatally::internal
{

namespace
{
constexpr const char *SUSPECTS_METRIC = "mimosatally_suspect_parts";
constexpr const char *BLOCKED_METRIC = "mimosatally_blocked_part_crashes";
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

CrashWatch::CrashWatch(CrashSuspects &suspects, Metrics &metrics)
    : suspects_(suspects)
    , metrics_(metrics)
{
}

void CrashWatch::recordCrash(const CrashedCall &call, const EndpointRecord &endpoint, std::span<const PromptPart> parts, Time now)
{
    const std::vector<std::uint64_t> blocked = suspects_.recordCrash(crashIdOf(endpoint.id, endpoint.startedAt), parts, now);
    logEvent(LogEvent::EndpointCrashSeen,
             {{"request", call.id},
              {"endpoint", endpoint.id},
              {"started", endpoint.startedAt},
              {"request_hash", partText(call.requestHash)},
              {"parts", sharedPartsText(parts)},
              {"suspected", suspects_.isSuspected(parts) ? "true" : "false"}});
    metrics_.increment(CRASHES_METRIC);
    for (const std::uint64_t part : blocked) {
        logBlocked(part, "own", now);
    }
}

void CrashWatch::recordAnswered(const RequestId &request, std::span<const PromptPart> parts, Time now)
{
    for (const std::uint64_t part : suspects_.recordAnswered(parts, now)) {
        logEvent(LogEvent::PromptPartCleared, {{"request", request}, {"part", partText(part)}});
    }
}

void CrashWatch::recordNotice(const SuspectNotice &notice, Time now)
{
    const bool newlyBlocked = suspects_.recordNotice(notice, now);
    if (newlyBlocked) {
        logBlocked(notice.part, "peer", now);
    }
}

void CrashWatch::logBlocked(std::uint64_t part, const char *source, Time now)
{
    const std::vector<BlockedPart> blocked = suspects_.blockedParts(now);
    const auto found = std::ranges::find(blocked, part, &BlockedPart::part);
    const Duration untilProbe = found == blocked.end() ? Duration(0) : found->retryAfter;
    logEvent(LogEvent::PromptPartBlocked, {{"part", partText(part)}, {"crashes", suspects_.crashesOf(part)}, {"source", source}, {"test_in_ms", untilProbe}});
}

void CrashWatch::update(Time now)
{
    for (const std::string &label : withMetrics_) {
        metrics_.removeGauge(BLOCKED_METRIC, label);
    }
    withMetrics_.clear();
    metrics_.set(SUSPECTS_METRIC, {}, static_cast<double>(suspects_.suspectCount()));
    const std::vector<BlockedPart> blocked = suspects_.blockedParts(now);
    for (std::size_t i = 0; i < std::min(blocked.size(), MAX_PARTS_IN_METRICS); ++i) {
        withMetrics_.push_back("part=\"" + partText(blocked[i].part) + '"');
        metrics_.set(BLOCKED_METRIC, withMetrics_.back(), blocked[i].crashes);
    }
}

} // namespace mimosatally::internal
