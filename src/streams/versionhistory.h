#pragma once

#include "streamorigins.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mimosatally::internal
{

/// \brief Software versions of each service that were registered recently.
///
/// Performs no I/O. It answers whether the origin of a stream follows from the service alone because there was only one version since before the stream began.
class VersionHistory
{
public:
    /// \brief Bounds the memory that forged notices of other processes can take up.
    static constexpr std::size_t MAX_SERVICES = 1024;
    /// \brief Versions of one service; of more, those that were seen last are kept.
    static constexpr std::size_t MAX_VERSIONS = 8;
    /// \brief An endpoint whose entry was removed can still write the first event of a call that was placed before.
    static constexpr Duration FIRST_EVENT_DELAY = Duration(5000);
    /// \brief Time that a history without a beginning covers; longer than any that is asked for.
    static constexpr Duration COMPLETE_COVERAGE = Duration(600'000);

    /// \brief Sets how long before now the first event of a stream that is taken up can be.
    void setLifetime(Duration lifetime);

    /// \brief Records that an endpoint of this version is registered. \param version empty if the endpoint states none.
    void observe(const ServiceId &service, const SoftwareVersion &version, Time now);

    /// \brief Records that another gateway tells of this version. It is not told on, or else two gateways would keep a version alive that has left.
    void recordHeard(const ServiceId &service, const SoftwareVersion &version, Time now);

    /// \brief Records that from \a since on all versions that were registered have been observed.
    void recordCoverage(Time since);

    /// \brief Records that the registered versions have been read as of \a sent, when the request was sent: the answer may have waited while the process stood
    /// still. \param complete false if a version that was registered only between the last read and this one may have been missed.
    void recordRead(bool complete, Time sent);

    /// \brief Records that the store has returned from an older copy: versions that only the lost records showed may have been missed, and what it keeps from
    /// before \a now shows nothing about them.
    void recordRestore(Time now);

    /// \brief Returns how often versions may have been missed.
    [[nodiscard]] std::uint64_t gapCount() const;

    /// \brief Returns whether all versions of the lifetime before \a now were observed.
    [[nodiscard]] bool isCovered(Time now) const;

    /// \brief Returns whether all versions of \a time before \a now were observed.
    [[nodiscard]] bool isCovered(Duration time, Time now) const;

    /// \brief Returns the version of \a service if there was no other one during the lifetime before \a now.
    [[nodiscard]] std::optional<SoftwareVersion> onlyVersion(const ServiceId &service, Time now) const;

    /// \brief Returns whether several versions of \a service were registered recently.
    [[nodiscard]] bool isMixed(const ServiceId &service, Time now) const;

    /// \brief Returns the recent versions of the services that have several.
    [[nodiscard]] std::vector<StreamOrigin> mixedVersions(Time now) const;

    /// \brief Returns those of mixedVersions() that this process has observed itself, to be told to other gateways.
    [[nodiscard]] std::vector<StreamOrigin> observedMixedVersions(Time now) const;

private:
    struct Sighting {
        /// \brief Last time at which the version was observed or heard of.
        Time seen;
        std::optional<Time> observed;
    };

    using Versions = std::map<SoftwareVersion, Sighting>;

    /// \brief Returns the record of a version, which is new if there was none; null if there is no room for another service.
    Sighting *sightingOf(const ServiceId &service, const SoftwareVersion &version, Time now);

    [[nodiscard]] bool isRecent(Time seen, Time now) const;
    [[nodiscard]] std::size_t countRecent(const Versions &versions, Time now) const;
    /// \brief Records that versions which were registered before \a now may have been missed.
    void recordGap(Time now);
    /// \return whether there is room for another service.
    bool makeRoom(Time now);

    std::map<ServiceId, Versions> services_;
    Duration lifetime_ = originLifetime(Duration(0));
    std::optional<Time> coveredSince_;
    std::optional<Time> restoredAt_;
    std::optional<Time> lastRead_;
    std::uint64_t gaps_ = 0;
};

} // namespace mimosatally::internal
