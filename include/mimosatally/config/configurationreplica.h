#pragma once

#include "configurationlog.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Offset of a record and the result of applying it.
struct AppliedRecord {
    Offset offset;
    ApplyResult result;
};

/// \brief Updates a ConfigurationLog from reads of the log and from peers, and tracks when the version was last confirmed.
///
/// A list of records for a peer starts with one `header` record. Its offset is the version after which the list is complete,
/// and its payload has the age of the sender's last confirmation. A receiver that lacks earlier records ignores the list.
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(std::vector<Operator> bootstrapOperators);

    [[nodiscard]] const ConfigurationState &state() const;
    [[nodiscard]] const ConfigurationLog &log() const;

    /// \brief Offset from which the next read of the log must start.
    [[nodiscard]] Offset nextReadOffset() const;

    /// \brief Applies the result of one read of the log.
    /// \param requestedOffset offset from which the read started.
    /// \param reachedEnd true if the read returned everything up to the end of the stream.
    /// \param sentAt time at which the read was sent; a read that reached the end confirms the version as of this time.
    std::vector<AppliedRecord> applyFromLog(Offset requestedOffset, const std::vector<ConfigurationRecord> &records, bool reachedEnd, Time sentAt);

    /// \brief Applies a list that a peer made with recordsFor().
    std::vector<AppliedRecord> applyFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, Time now);

    /// \brief Returns the list for a peer whose last known version is \a peerVersion.
    [[nodiscard]] std::vector<ConfigurationRecord> recordsFor(ConfigurationVersion peerVersion, Time now) const;

    /// \brief Time at which the log or a peer last confirmed that the version is current; std::nullopt if never.
    [[nodiscard]] std::optional<Time> confirmedAt() const;

    /// \brief True if retention removed records that the replica lacks and the log has no usable snapshot.
    [[nodiscard]] bool isMissingRecords() const;

    /// \brief Last offset that is covered by a snapshot in the log, as far as known; -1 if no snapshot is known.
    [[nodiscard]] Offset snapshotCoveredOffset() const;

private:
    void collect(const std::vector<ConfigurationRecord> &records);
    void finishCatchUp(std::vector<AppliedRecord> &applied);
    void applyAll(const std::vector<ConfigurationRecord> &records, std::vector<AppliedRecord> &applied);
    void confirm(Time at);

    ConfigurationLog log_;
    /// \brief Records read while the replica looks for a snapshot that closes a gap; the first is the oldest retained record.
    std::vector<ConfigurationRecord> collected_;
    bool isMissingRecords_ = false;
    Offset snapshotCoveredOffset_ = Offset(-1);
    std::optional<Time> confirmedAt_;
};

} // namespace mimosatally
