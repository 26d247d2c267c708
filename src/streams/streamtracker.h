#pragma once

#include "versionhistory.h"

#include <mimosatally/Streams>

#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace mimosatally::internal
{

/// \brief Knows which version wrote the first events of streams, and which of the own streams other gateways have to be told of.
///
/// Performs no I/O apart from log lines. Other gateways are told of a stream while its service has several versions, so one version everywhere costs nothing.
class StreamTracker
{
public:
    /// \brief How an attempt to deliver a stream has ended.
    enum class End {
        /// \brief The caller has all of it.
        Complete,
        /// \brief It broke off, was cut, or the caller is gone; another attempt of the caller may continue it.
        Broken,
    };

    /// \brief What has been recorded of the origin of a stream, by this process or from what another gateway told.
    struct Knowledge {
        /// \brief Set if the version of the first event is known.
        std::optional<StreamOrigin> origin;
        /// \brief The version is unknown and remains so; asking other gateways cannot help.
        bool neverJoined = false;
        Time recordedAt = Time::min();
    };

    explicit StreamTracker(Metrics &metrics);

    /// \brief Extends the time for which the origin of a stream is needed; see originLifetime(). It never becomes shorter, for the streams that began before.
    void extendLifetime(Duration lifetime);

    /// \brief Records the first event that this process forwards of a stream, before it is written to the caller. Each call needs one to streamEnded().
    /// \param root request that brought the stream's first event: the one that the call continues, else the call itself.
    void streamBegan(const RequestId &root, const StreamOrigin &origin, Time now);

    /// \brief Records the end of an attempt, before the caller's connection is closed.
    /// \return whether other gateways have to be told of the stream now; see takeNotices().
    bool streamEnded(const RequestId &root, End end, Time now);

    /// \brief Records what another gateway tells.
    void recordNotice(const StreamNotice &notice, Time now);

    /// \brief Returns what is recorded of a stream.
    [[nodiscard]] Knowledge find(const RequestId &root, Time now) const;

    /// \brief Returns what to tell an asking gateway; empty if nothing is known.
    [[nodiscard]] std::optional<StreamNotice> answerTo(const RequestId &root, Time now) const;

    /// \brief Returns the origins of at most \a maxRoots own streams that other gateways have to be told of. They count as told from then on.
    std::vector<StreamNotice> takeNotices(std::size_t maxRoots, Time now);

    /// \brief Returns the versions of services that have several, if these have changed since the last call; else nothing. Streams that broke off before are
    /// announced by the next takeNotices().
    std::vector<StreamNotice> takeChangedVersions(Time now);

    /// \brief Returns the versions of services that have several.
    [[nodiscard]] std::vector<StreamNotice> mixedVersions(Time now) const;

    /// \brief Returns for how long the origin of a stream is needed.
    [[nodiscard]] Duration lifetime() const;

    VersionHistory &versions();

    /// \brief Rules by which streams of resumable routes begin.
    OriginRules &rules();

private:
    struct OwnStream {
        StreamOrigin origin;
        /// \brief Attempts in flight; a caller may continue a stream while its last attempt still runs.
        int attempts = 0;
        bool announced = false;
        /// \brief Another origin was recorded too.
        bool conflicting = false;
    };

    struct BrokenStream {
        RequestId root;
        StreamOrigin origin;
        Time brokeAt;
    };

    void record(const RequestId &root, const StreamOrigin &origin, Time now);
    void rememberBroken(const RequestId &root, const StreamOrigin &origin, Time now);
    /// \brief Lets the streams that broke off before their service got several versions be announced.
    void announceRemembered(Time now);
    /// \brief Returns the record of a stream, or what is known of an own stream in flight.
    [[nodiscard]] std::optional<StreamOrigins::Stream> recordOf(const RequestId &root, Time now) const;

    Metrics &metrics_;
    StreamOrigins origins_;
    VersionHistory versions_;
    OriginRules rules_;
    std::unordered_map<RequestId, OwnStream> ownStreams_;
    /// \brief Streams in flight that other gateways have not been told of.
    std::map<ServiceId, std::unordered_set<RequestId>> unannounced_;
    /// \brief Streams that broke off and have to be announced at once.
    std::vector<std::pair<RequestId, StreamOrigin>> broken_;
    /// \brief Streams that broke off while their service had one version, the oldest first. They are announced if it gets another one.
    std::deque<BrokenStream> brokenUnannounced_;
    Duration lifetime_ = originLifetime(Duration(0));
    /// \brief Versions of mixed services at the last call of takeChangedVersions().
    std::vector<StreamOrigin> lastVersions_;
};

} // namespace mimosatally::internal
