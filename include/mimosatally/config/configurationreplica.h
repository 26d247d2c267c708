#pragma once

#include "configurationlog.h"

#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Verdict on one record with its place.
struct AppliedRecord {
    Offset offset;
    ApplyResult result;
};

/// \brief Feeds a ConfigurationLog from reads of the log and from peers, and knows when the version was last confirmed.
///
/// A list for a peer starts with one `header` record: its offset is the version after which the list is complete, and its
/// payload carries the age of the sender's own confirmation. A reader that lacks records before a list ignores it.
class ConfigurationReplica
{
public:
    explicit ConfigurationReplica(std::vector<Operator> bootstrapOperators);

    [[nodiscard]] const ConfigurationState &state() const;
    [[nodiscard]] const ConfigurationLog &log() const;

    /// \brief Offset from which to read the log next.
    [[nodiscard]] Offset nextRead() const;

    /// \brief Takes the result of one read.
    /// \param asked offset that was asked for.
    /// \param reachedEnd whether the read returned everything up to the end of the stream.
    /// \param started when the read was sent; a read that reached the end confirms the version as of then.
    std::vector<AppliedRecord> takeFromLog(Offset asked, const std::vector<ConfigurationRecord> &records, bool reachedEnd, Time started);

    /// \brief Takes a list that a peer made with recordsFor().
    std::vector<AppliedRecord> takeFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, Time now);

    /// \brief List for a peer that was last known at \a peerVersion.
    [[nodiscard]] std::vector<ConfigurationRecord> recordsFor(ConfigurationVersion peerVersion, Time now) const;

    /// \brief When log or peer last confirmed that the version is current; nothing if never.
    [[nodiscard]] std::optional<Time> confirmedAt() const;

    /// \brief Whether retention removed records that the replica lacks and no usable snapshot was found in the log.
    [[nodiscard]] bool lacksRecords() const;

    /// \brief Highest offset that a snapshot in the log is known to cover; -1 if none is known.
    [[nodiscard]] Offset snapshotCovers() const;

private:
    void collect(const std::vector<ConfigurationRecord> &records);
    void finishCatchUp(std::vector<AppliedRecord> &applied);
    void applyAll(const std::vector<ConfigurationRecord> &records, std::vector<AppliedRecord> &applied);
    void confirm(Time at);

    ConfigurationLog log_;
    /// \brief Records from the first kept one on, while a gap is bridged.
    std::vector<ConfigurationRecord> collected_;
    bool lacksRecords_ = false;
    Offset snapshotCovers_ = Offset(-1);
    std::optional<Time> confirmedAt_;
};

} // namespace mimosatally
