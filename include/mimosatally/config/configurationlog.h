#pragma once

#include "configuration.h"
#include "configurationrecord.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally
{

/// \brief Verdict on one record.
struct ApplyResult {
    enum class Verdict {
        /// \brief The record's offset is the new version.
        Accepted,
        /// \brief The record has no effect, in any reader.
        Void,
        /// \brief The record was applied before, or is a snapshot that is not needed.
        Ignored,
    };

    Verdict verdict = Verdict::Ignored;
    /// \brief Why the record is void or ignored.
    std::string reason;

    [[nodiscard]] bool isAccepted() const
    {
        return verdict == Verdict::Accepted;
    }
};

/// \brief Decides which records of stream `configuration` are in force. Every reader that applied the same prefix of the
/// stream has the same state.
///
/// Records that peers sent are applied by the same function. A peer sends accepted records only, so their offsets have
/// gaps; void records have no influence on the verdict about later ones.
class ConfigurationLog
{
public:
    /// \param bootstrapOperators may sign while no configuration is in force.
    explicit ConfigurationLog(std::vector<Operator> bootstrapOperators);

    /// \brief Applies one record; records below nextOffset() are ignored.
    ApplyResult apply(Offset offset, const std::string &payload);

    /// \brief Takes over the state of a `snapshot` record that covers more than was applied.
    ///
    /// The caller has checked that every record after the covered offset can still be applied.
    ApplyResult restore(const std::string &snapshot);

    /// \brief The state as a `snapshot` record. Equal states give equal texts but for the id.
    [[nodiscard]] std::string snapshot(const RecordId &id) const;

    /// \brief Offset that a record covers if it is a `snapshot`, otherwise nothing.
    static std::optional<Offset> snapshotCovers(const std::string &payload);

    [[nodiscard]] const ConfigurationState &state() const;

    /// \brief Records that bring a peer from \a version to the own version, in order. One snapshot record if the records
    /// themselves are no longer kept. Empty if the peer is not behind.
    [[nodiscard]] std::vector<ConfigurationRecord> acceptedAfter(ConfigurationVersion version) const;

    /// \brief Offset from which to read the log.
    [[nodiscard]] Offset nextOffset() const;

private:
    struct ParsedRecord;

    ApplyResult decide(Offset offset, const std::string &payload);
    ApplyResult applyRecord(Offset offset, const ParsedRecord &record);
    ApplyResult applyDocument(Offset offset, const ParsedRecord &record);
    void forgetRemovedInstances();
    ApplyResult changeInstance(const ParsedRecord &record);
    [[nodiscard]] bool isSignedByOperator(const ParsedRecord &record) const;
    [[nodiscard]] bool wasAccepted(const RecordId &id) const;
    void remember(Offset offset, const std::string &payload, const RecordId &id);

    std::vector<Operator> bootstrapOperators_;
    ConfigurationState state_;
    Offset nextOffset_;
    std::deque<RecordId> acceptedIds_;
    /// \brief Recent accepted records for peers; bounded in bytes.
    std::deque<ConfigurationRecord> accepted_;
    std::size_t acceptedBytes_ = 0;
    /// \brief Version after which accepted_ is complete.
    ConfigurationVersion acceptedSince_ = ConfigurationVersion(-1);
};

} // namespace mimosatally
