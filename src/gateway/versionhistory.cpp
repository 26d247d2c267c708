#include "versionhistory.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief An endpoint registers repeatedly while it runs, so a shorter gap hides only one that both started and ended within it.
constexpr Duration MAX_HARMLESS_GAP = Duration(3000);
} // namespace

void VersionHistory::setLifetime(Duration lifetime)
{
    lifetime_ = lifetime;
}

void VersionHistory::observe(const ServiceId &service, const SoftwareVersion &version, Time now)
{
    if (!services_.contains(service) && !makeRoom(now)) {
        // The version is missed, so no conclusion is drawn from those that are known until the lifetime has passed.
        recordGap(now);
        return;
    }
    Versions &versions = services_[service];
    Time &seen = versions.try_emplace(version, now).first->second;
    seen = std::max(seen, now);
    if (versions.size() > MAX_VERSIONS) {
        versions.erase(std::ranges::min_element(versions, {}, &Versions::value_type::second));
    }
}

void VersionHistory::recordCoverage(Time since)
{
    coveredSince_ = coveredSince_ ? std::min(*coveredSince_, since) : since;
}

void VersionHistory::recordGap(Time now)
{
    coveredSince_ = now;
    ++gaps_;
}

void VersionHistory::recordRead(bool complete, Time now)
{
    if (!lastRead_) {
        recordCoverage(now);
    } else if (!complete && now - *lastRead_ > MAX_HARMLESS_GAP) {
        recordGap(now);
    }
    lastRead_ = now;
}

std::uint64_t VersionHistory::gapCount() const
{
    return gaps_;
}

bool VersionHistory::isCovered(Time now) const
{
    return coveredSince_ && now - *coveredSince_ >= lifetime_;
}

std::optional<SoftwareVersion> VersionHistory::onlyVersion(const ServiceId &service, Time now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || !isCovered(now) || countRecent(found->second, now) != 1) {
        return std::nullopt;
    }
    const auto recent = std::ranges::find_if(found->second, [&](const auto &item) {
        return isRecent(item.second, now);
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
        for (const auto &[version, seen] : versions) {
            if (isRecent(seen, now)) {
                result.push_back({service, version});
            }
        }
    }
    return result;
}

bool VersionHistory::isRecent(Time seen, Time now) const
{
    return now - seen <= lifetime_ + FIRST_EVENT_DELAY;
}

std::size_t VersionHistory::countRecent(const Versions &versions, Time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(versions, [&](const auto &item) {
        return isRecent(item.second, now);
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
