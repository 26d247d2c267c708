#include "versionhistory.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief An entry lives for three heartbeat intervals at least, or until its endpoint has drained, so none comes and goes between reads that were sent this
/// close together.
constexpr Duration MAX_HARMLESS_GAP = Duration(3000);
} // namespace

void VersionHistory::setLifetime(Duration lifetime)
{
    lifetime_ = lifetime;
}

void VersionHistory::observe(const ServiceId &service, const SoftwareVersion &version, Time now)
{
    if (Sighting *sighting = sightingOf(service, version, now)) {
        sighting->observed = std::max(sighting->observed.value_or(now), now);
    }
}

void VersionHistory::recordHeard(const ServiceId &service, const SoftwareVersion &version, Time now)
{
    sightingOf(service, version, now);
}

VersionHistory::Sighting *VersionHistory::sightingOf(const ServiceId &service, const SoftwareVersion &version, Time now)
{
    if (!services_.contains(service) && !makeRoom(now)) {
        // The version is missed, so no conclusion is drawn from those that are known until the lifetime has passed.
        recordGap(now);
        return nullptr;
    }
    Versions &versions = services_[service];
    if (!versions.contains(version) && versions.size() >= MAX_VERSIONS) {
        versions.erase(std::ranges::min_element(versions, {}, [](const Versions::value_type &item) {
            return item.second.seen;
        }));
    }
    Sighting &sighting = versions.try_emplace(version, Sighting {now, std::nullopt}).first->second;
    sighting.seen = std::max(sighting.seen, now);
    return &sighting;
}

void VersionHistory::recordCoverage(Time since)
{
    const Time shown = restoredAt_ ? std::max(since, *restoredAt_) : since;
    coveredSince_ = coveredSince_ ? std::min(*coveredSince_, shown) : shown;
}

void VersionHistory::recordGap(Time now)
{
    coveredSince_ = now;
    ++gaps_;
}

void VersionHistory::recordRestore(Time now)
{
    restoredAt_ = now;
    recordGap(now);
}

void VersionHistory::recordRead(bool complete, Time sent)
{
    if (!lastRead_) {
        recordCoverage(sent);
    } else if (!complete && sent - *lastRead_ > MAX_HARMLESS_GAP) {
        recordGap(sent);
    }
    lastRead_ = sent;
}

std::uint64_t VersionHistory::gapCount() const
{
    return gaps_;
}

bool VersionHistory::isCovered(Time now) const
{
    return isCovered(lifetime_, now);
}

bool VersionHistory::isCovered(Duration time, Time now) const
{
    return coveredSince_ && now - *coveredSince_ >= time;
}

std::optional<SoftwareVersion> VersionHistory::onlyVersion(const ServiceId &service, Time now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || !isCovered(now) || countRecent(found->second, now) != 1) {
        return std::nullopt;
    }
    const auto recent = std::ranges::find_if(found->second, [&](const auto &item) {
        return isRecent(item.second.seen, now);
    });
    return recent->first.empty() ? std::nullopt : std::optional(recent->first);
}

bool VersionHistory::isMixed(const ServiceId &service, Time now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && countRecent(found->second, now) > 1;
}

std::vector<StreamOrigin> VersionHistory::mixedVersions(Time now) const
{
    std::vector<StreamOrigin> result;
    for (const auto &[service, versions] : services_) {
        if (countRecent(versions, now) < 2) {
            continue;
        }
        for (const auto &[version, sighting] : versions) {
            if (isRecent(sighting.seen, now)) {
                result.push_back({service, version});
            }
        }
    }
    return result;
}

std::vector<StreamOrigin> VersionHistory::observedMixedVersions(Time now) const
{
    std::vector<StreamOrigin> result = mixedVersions(now);
    std::erase_if(result, [&](const StreamOrigin &origin) {
        const std::optional<Time> observed = services_.at(origin.service).at(origin.version).observed;
        return !observed || !isRecent(*observed, now);
    });
    return result;
}

bool VersionHistory::isRecent(Time seen, Time now) const
{
    return now - seen <= lifetime_ + FIRST_EVENT_DELAY;
}

std::size_t VersionHistory::countRecent(const Versions &versions, Time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(versions, [&](const auto &item) {
        return isRecent(item.second.seen, now);
    }));
}

bool VersionHistory::makeRoom(Time now)
{
    if (services_.size() < MAX_SERVICES) {
        return true;
    }
    std::erase_if(services_, [&](const auto &item) {
        return countRecent(item.second, now) == 0;
    });
    return services_.size() < MAX_SERVICES;
}

} // namespace mimosatally::internal
