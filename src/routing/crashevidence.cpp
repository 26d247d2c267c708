#include "forgetolder.h"

#include <mimosatally/Routing>

#include <algorithm>
#include <functional>
#include <string>

namespace mimosatally
{

namespace
{
constexpr unsigned ID_BITS = 56;
constexpr CrashMark ID_MASK = (CrashMark(1) << ID_BITS) - 1;
/// \brief Unit of positions in marks; the largest position takes seven bits.
constexpr Duration POSITION_STEP = Duration(16);

std::optional<Duration> positionOf(CrashMark mark)
{
    const CrashMark steps = mark >> ID_BITS;
    return steps == 0 ? std::nullopt : std::optional(POSITION_STEP * static_cast<Duration::rep>(steps - 1));
}
} // namespace

CrashId crashIdOf(const EndpointId &endpoint, std::int64_t startedAt)
{
    return std::hash<std::string>()(endpoint.value() + '@' + std::to_string(startedAt)) & ID_MASK;
}

void CrashTimes::record(CrashId crash, Time now)
{
    if (times_.size() >= MAX_CRASHES && !times_.contains(crash)) {
        internal::forgetOlderHalf(times_);
    }
    times_.try_emplace(crash, now);
}

Time CrashTimes::at(CrashId crash) const
{
    const auto found = times_.find(crash);
    return found == times_.end() ? Time(Duration(0)) : found->second;
}

CrashMark CrashEvidence::mark(CrashId crash, std::optional<Duration> sinceFirstByte)
{
    if (!sinceFirstByte) {
        return crash & ID_MASK;
    }
    const auto steps = static_cast<CrashMark>(std::clamp(*sinceFirstByte, Duration(0), MAX_POSITION) / POSITION_STEP + 1);
    return (crash & ID_MASK) | (steps << ID_BITS);
}

CrashId CrashEvidence::crashOf(CrashMark mark)
{
    return mark & ID_MASK;
}

bool CrashEvidence::add(CrashMark mark, const CrashTimes &times)
{
    const std::optional<Duration> position = positionOf(mark);
    const auto found = positions_.find(crashOf(mark));
    if (found != positions_.end()) {
        // An empty position, before the answer, is less than any other.
        const bool isEarlier = position < found->second;
        found->second = std::min(found->second, position);
        return isEarlier;
    }
    positions_.emplace(crashOf(mark), position);
    if (positions_.size() > MAX_CRASHES) {
        dropLeastUseful(times);
    }
    return positions_.contains(crashOf(mark));
}

void CrashEvidence::dropLeastUseful(const CrashTimes &times)
{
    const auto usefulness = [&](const auto &item) {
        Positions others = positions_;
        others.erase(item.first);
        const std::size_t remaining = countOf(others, times);
        return std::pair(positions_.size() - remaining, times.at(item.first));
    };
    positions_.erase(std::ranges::min_element(positions_, {}, usefulness));
}

void CrashEvidence::clear()
{
    positions_.clear();
}

void CrashEvidence::remove(const CrashEvidence &explained)
{
    std::erase_if(positions_, [&explained](const auto &item) {
        return explained.positions_.contains(item.first);
    });
}

bool CrashEvidence::empty() const
{
    return positions_.empty();
}

bool CrashEvidence::sharesCrash(const CrashEvidence &other) const
{
    return std::ranges::any_of(positions_, [&other](const auto &item) {
        return other.positions_.contains(item.first);
    });
}

std::vector<CrashMark> CrashEvidence::marks() const
{
    std::vector<CrashMark> result;
    for (const auto &[crash, position] : positions_) {
        result.push_back(mark(crash, position));
    }
    return result;
}

std::size_t CrashEvidence::count(const CrashTimes &times) const
{
    return countOf(positions_, times);
}

std::size_t CrashEvidence::countOf(const Positions &positions, const CrashTimes &times)
{
    std::vector<Crash> all;
    for (const auto &[crash, position] : positions) {
        all.push_back({times.at(crash), position.value_or(Duration(0)), position.has_value()});
    }
    std::size_t result = countIncidents(all) / 2;
    for (const Crash &first : all) {
        std::vector<Crash> near;
        std::ranges::copy_if(all, std::back_inserter(near), [&first](const Crash &crash) {
            return crash.position >= first.position && crash.position <= first.position + POSITION_RANGE;
        });
        result = std::max(result, countIncidents(std::move(near)));
    }
    return result;
}

std::size_t CrashEvidence::countIncidents(std::vector<Crash> crashes)
{
    std::ranges::sort(crashes, {}, &Crash::time);
    std::size_t count = 0;
    std::optional<Time> lastCounted;
    for (const Crash &crash : crashes) {
        if (!crash.withinAnswer || !lastCounted || crash.time - *lastCounted >= INCIDENT_TIME) {
            ++count;
            lastCounted = crash.time;
        }
    }
    return count;
}

} // namespace mimosatally
