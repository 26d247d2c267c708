#pragma once

#include "configuration.h"
#include "configurationrecord.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Result of applying one record.
struct ApplyResult {
    enum class Verdict {
        /// \brief The record's offset is the new version.
        Accepted,
        /// \brief The record is invalid and has no effect, in any reader.
        Void,
        /// \brief The record is already applied, or is a snapshot that is not needed.
        Ignored,
    };

    Verdict verdict = Verdict::Ignored;
    /// \brief Reason why the record is void or ignored; empty if it is accepted.
    std::string reason;

    [[nodiscard]] bool isAccepted() const
    {
        return verdict == Verdict::Accepted;
    }
};

/// \brief State machine that decides which records of stream `configuration` are in force. Every reader that has applied the
/// same prefix of the stream has the same state.
///
/// Records received from peers are applied by the same function. A peer sends only accepted records, so their offsets have
/// gaps. This is safe because void records do not affect the verdict on later ones.
class ConfigurationLog
{
public:
    /// \param bootstrapOperators operators that may sign documents while no configuration is in force.
    explicit ConfigurationLog(std::vector<Operator> bootstrapOperators);

    /// \brief Applies one record; records below nextOffset() are ignored.
    ApplyResult apply(Offset offset, const std::string &payload);

    /// \brief Replaces the state by that of a `snapshot` record, if the snapshot covers more records than were applied.
    ///
    /// The caller must have checked that every record after the covered offset is available.
    ApplyResult restore(const std::string &snapshot);

    /// \brief Returns the state as a `snapshot` record. Equal states give equal texts except for the id.
    [[nodiscard]] std::string snapshot(const RecordId &id) const;

    /// \brief Returns the last offset that a `snapshot` record covers, or std::nullopt for a record of another kind.
    static std::optional<Offset> snapshotCoveredOffset(const std::string &payload);

    [[nodiscard]] const ConfigurationState &state() const;

    /// \brief Returns the records that bring a peer from \a version to the current version, in order. If they are no longer
    /// kept, the result is one snapshot record. Empty if the peer is not behind.
    [[nodiscard]] std::vector<ConfigurationRecord> acceptedAfter(ConfigurationVersion version) const;

    /// \brief Offset of the first record that is not yet applied.
    [[nodiscard]] Offset nextOffset() const;

private:
    struct ParsedRecord;

    ApplyResult applyPayload(Offset offset, const std::string &payload);
    ApplyResult applyRecord(Offset offset, const ParsedRecord &record);
    ApplyResult applyDocument(Offset offset, const ParsedRecord &record);
    void pruneRemovedInstances();
    ApplyResult applyInstanceAction(const ParsedRecord &record);
    [[nodiscard]] bool isSignedByOperator(const ParsedRecord &record) const;
    [[nodiscard]] bool wasAccepted(const RecordId &id) const;
    void recordAccepted(Offset offset, const std::string &payload, const RecordId &id);

    std::vector<Operator> bootstrapOperators_;
    ConfigurationState state_;
    Offset nextOffset_;
    std::deque<RecordId> acceptedIds_;
    /// \brief Most recently accepted records, kept for peers; their total size is bounded.
    std::deque<ConfigurationRecord> accepted_;
    std::size_t acceptedBytes_ = 0;
    /// \brief Version after which accepted_ is complete.
    ConfigurationVersion acceptedSince_ = ConfigurationVersion(-1);
};

} // namespace mimosatally
