#include "streamtracker.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
/// \brief Bounds the memory while there is nobody to tell; others can still ask.
constexpr std::size_t MAX_BROKEN = 1024;

/// \brief Adds \a root to the notice with its origin.
void addTo(std::vector<StreamNotice> &notices, const StreamOrigin &origin, const RequestId &root)
{
    auto notice = std::ranges::find(notices, origin, &StreamNotice::origin);
    if (notice == notices.end()) {
        notice = notices.insert(notices.end(), StreamNotice {origin, {}});
    }
    notice->roots.push_back(root);
}
} // namespace

StreamTracker::StreamTracker(Metrics &metrics)
    : metrics_(metrics)
{
    rules_.setLifetime(lifetime_);
}

void StreamTracker::extendLifetime(Duration lifetime)
{
    lifetime_ = std::max(lifetime_, lifetime);
    origins_.setLifetime(lifetime_);
    versions_.setLifetime(lifetime_);
    rules_.setLifetime(lifetime_);
}

Duration StreamTracker::lifetime() const
{
    return lifetime_;
}

OriginRules &StreamTracker::rules()
{
    return rules_;
}

VersionHistory &StreamTracker::versions()
{
    return versions_;
}

void StreamTracker::streamBegan(const RequestId &root, const StreamOrigin &origin, Time now)
{
    versions_.observe(origin.service, origin.version, now);
    record(root, origin, now);
    const auto [own, isNew] = ownStreams_.try_emplace(root);
    ++own->second.attempts;
    if (isNew) {
        own->second.origin = origin;
        unannounced_[origin.service].insert(root);
    }
}

bool StreamTracker::streamEnded(const RequestId &root, End end, Time now)
{
    const auto own = ownStreams_.find(root);
    if (own == ownStreams_.end()) {
        return false;
    }
    const StreamOrigin origin = own->second.origin;
    const bool mustTell = end == End::Broken && !own->second.announced && versions_.isMixed(origin.service, now);
    if (mustTell) {
        own->second.announced = true;
        if (broken_.size() < MAX_BROKEN) {
            broken_.emplace_back(root, origin);
        }
    }
    --own->second.attempts;
    const bool finished = own->second.attempts == 0;
    if (finished || own->second.announced) {
        unannounced_[origin.service].erase(root);
    }
    if (finished && end == End::Broken && !own->second.announced) {
        rememberBroken(root, origin, now);
    }
    if (finished) {
        // The attempt's end, not its start, begins the time in which the caller may continue the stream.
        record(root, origin, now);
        ownStreams_.erase(own);
    }
    return mustTell;
}

void StreamTracker::record(const RequestId &root, const StreamOrigin &origin, Time now)
{
    const StreamOrigins::Stream *known = origins_.find(root, now);
    const bool wasJoinable = known == nullptr || known->joinable;
    if (origins_.record(root, origin, now) != StreamOrigins::Result::Conflicting) {
        return;
    }
    const auto own = ownStreams_.find(root);
    if (own != ownStreams_.end()) {
        own->second.conflicting = true;
    }
    if (!wasJoinable) {
        return;
    }
    metrics_.increment("mimosatally_stream_origin_conflicts_total", {});
    logEvent(LogEvent::StreamOriginConflicting, {{"request", root}, {"service", origin.service}, {"version", origin.version}});
}

void StreamTracker::recordNotice(const StreamNotice &notice, Time now)
{
    if (!notice.origin.version.empty()) {
        versions_.recordHeard(notice.origin.service, notice.origin.version, now);
    }
    for (const RequestId &root : notice.roots) {
        record(root, notice.origin, now);
    }
    metrics_.increment("mimosatally_stream_notices_total", "direction=\"received\"", notice.roots.size());
}

StreamTracker::Knowledge StreamTracker::find(const RequestId &root, Time now) const
{
    const std::optional<StreamOrigins::Stream> known = recordOf(root, now);
    if (!known) {
        return {};
    }
    return {known->joinable ? std::optional(known->origin) : std::nullopt, !known->joinable, known->recordedAt};
}

std::optional<StreamOrigins::Stream> StreamTracker::recordOf(const RequestId &root, Time now) const
{
    if (const StreamOrigins::Stream *known = origins_.find(root, now)) {
        return *known;
    }
    // A stream in flight can last longer than its record is kept.
    const auto own = ownStreams_.find(root);
    if (own == ownStreams_.end()) {
        return std::nullopt;
    }
    const StreamOrigin &origin = own->second.origin;
    return StreamOrigins::Stream {root, origin, !own->second.conflicting && !origin.version.empty(), now};
}

std::optional<StreamNotice> StreamTracker::answerTo(const RequestId &root, Time now) const
{
    const std::optional<StreamOrigins::Stream> known = recordOf(root, now);
    if (!known) {
        return std::nullopt;
    }
    StreamOrigin origin = known->origin;
    if (!known->joinable) {
        origin.version = SoftwareVersion();
    }
    return StreamNotice {origin, {root}};
}

void StreamTracker::rememberBroken(const RequestId &root, const StreamOrigin &origin, Time now)
{
    if (root.value().size() > StreamOrigins::MAX_ROOT_BYTES) {
        return;
    }
    while (!brokenUnannounced_.empty() && (brokenUnannounced_.size() >= MAX_BROKEN || now - brokenUnannounced_.front().brokeAt > lifetime_)) {
        brokenUnannounced_.pop_front();
    }
    brokenUnannounced_.push_back({root, origin, now});
}

void StreamTracker::announceRemembered(Time now)
{
    const auto isMixed = [this, now](const BrokenStream &stream) {
        return versions_.isMixed(stream.origin.service, now);
    };
    for (const BrokenStream &stream : brokenUnannounced_) {
        if (isMixed(stream) && now - stream.brokeAt <= lifetime_) {
            broken_.emplace_back(stream.root, stream.origin);
        }
    }
    std::erase_if(brokenUnannounced_, isMixed);
}

std::vector<StreamNotice> StreamTracker::takeNotices(std::size_t maxRoots, Time now)
{
    std::vector<StreamNotice> notices;
    std::size_t taken = 0;
    while (!broken_.empty() && taken < maxRoots) {
        addTo(notices, broken_.back().second, broken_.back().first);
        broken_.pop_back();
        ++taken;
    }
    for (auto &[service, roots] : unannounced_) {
        if (!versions_.isMixed(service, now)) {
            continue;
        }
        while (!roots.empty() && taken < maxRoots) {
            const auto own = ownStreams_.find(*roots.begin());
            own->second.announced = true;
            addTo(notices, own->second.origin, own->first);
            roots.erase(roots.begin());
            ++taken;
        }
    }
    metrics_.increment("mimosatally_stream_notices_total", "direction=\"sent\"", taken);
    std::erase_if(unannounced_, [](const auto &item) {
        return item.second.empty();
    });
    return notices;
}

std::vector<StreamNotice> StreamTracker::mixedVersions(Time now) const
{
    std::vector<StreamNotice> notices;
    for (const StreamOrigin &origin : versions_.observedMixedVersions(now)) {
        notices.push_back({origin, {}});
    }
    return notices;
}

std::vector<StreamNotice> StreamTracker::takeChangedVersions(Time now)
{
    std::vector<StreamOrigin> versions = versions_.mixedVersions(now);
    if (versions == lastVersions_) {
        return {};
    }
    for (const StreamOrigin &origin : versions) {
        if (std::ranges::find(lastVersions_, origin) == lastVersions_.end()) {
            logEvent(LogEvent::ServiceVersionsMixed, {{"service", origin.service}, {"version", origin.version}, {"mixed", true}});
        }
    }
    for (const StreamOrigin &origin : lastVersions_) {
        if (!versions_.isMixed(origin.service, now)) {
            logEvent(LogEvent::ServiceVersionsMixed, {{"service", origin.service}, {"version", origin.version}, {"mixed", false}});
        }
    }
    lastVersions_ = std::move(versions);
    announceRemembered(now);
    return mixedVersions(now);
}

} // namespace mimosatally::internal
