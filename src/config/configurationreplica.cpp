#include <mimosatally/Config>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace
{
constexpr const char *HEADER_KIND = "header";
constexpr const char *CONFIRMED_AGE_FIELD = "confirmed_age_ms";

struct ListHeader {
    Offset completeAfter;
    /// \brief Age of the sender's last confirmation; empty if its version was never confirmed.
    std::optional<Duration> confirmedAge;
};

std::optional<ListHeader> readHeader(const std::vector<ConfigurationRecord> &records)
{
    if (records.empty()) {
        return std::nullopt;
    }
    const nlohmann::json json = nlohmann::json::parse(records.front().payload, nullptr, false);
    if (!json.is_object() || json.value("kind", nlohmann::json()) != HEADER_KIND) {
        return std::nullopt;
    }
    ListHeader header;
    header.completeAfter = records.front().offset;
    const auto age = json.find(CONFIRMED_AGE_FIELD);
    if (age != json.end() && age->is_number_integer()) {
        header.confirmedAge = Duration(std::max<std::int64_t>(age->get<std::int64_t>(), 0));
    }
    return header;
}
} // namespace

ConfigurationReplica::ConfigurationReplica(std::vector<Operator> bootstrapOperators)
    : log_(std::move(bootstrapOperators))
{
}

const ConfigurationState &ConfigurationReplica::state() const
{
    return log_.state();
}

const ConfigurationLog &ConfigurationReplica::log() const
{
    return log_;
}

Offset ConfigurationReplica::nextReadOffset() const
{
    return collected_.empty() ? log_.nextOffset() : collected_.back().offset + Offset(1);
}

std::vector<AppliedRecord> ConfigurationReplica::applyFromLog(Offset requestedOffset,
                                                              const std::vector<ConfigurationRecord> &records,
                                                              bool reachedEnd,
                                                              Time sentAt)
{
    std::vector<AppliedRecord> applied;
    const bool hasGap = !records.empty() && records.front().offset > requestedOffset;
    if (collected_.empty() && !(hasGap && records.front().offset > log_.nextOffset())) {
        if (requestedOffset > log_.nextOffset()) {
            return applied;
        }
        applyAll(records, applied);
    } else {
        // A gap while collecting means that retention removed records that were not yet read, so the collected ones are not
        // contiguous.
        if (hasGap) {
            collected_.clear();
        }
        collect(records);
        if (!reachedEnd) {
            return applied;
        }
        finishCatchUp(applied);
    }
    if (reachedEnd && !isMissingRecords_) {
        confirm(sentAt);
    }
    return applied;
}

void ConfigurationReplica::collect(const std::vector<ConfigurationRecord> &records)
{
    for (const ConfigurationRecord &record : records) {
        if (collected_.empty() || record.offset > collected_.back().offset) {
            collected_.push_back(record);
        }
    }
}

void ConfigurationReplica::finishCatchUp(std::vector<AppliedRecord> &applied)
{
    const std::vector<ConfigurationRecord> records = std::exchange(collected_, {});
    const Offset firstKept = records.front().offset;
    isMissingRecords_ = false;
    if (firstKept > log_.nextOffset()) {
        isMissingRecords_ = std::none_of(records.rbegin(), records.rend(), [&](const ConfigurationRecord &record) {
            const std::optional<Offset> coveredOffset = ConfigurationLog::snapshotCoveredOffset(record.payload);
            if (!coveredOffset || *coveredOffset + Offset(1) < firstKept || *coveredOffset >= record.offset) {
                return false;
            }
            const ApplyResult result = log_.restore(record.payload);
            if (result.isAccepted()) {
                applied.push_back({*coveredOffset, result});
            }
            return result.isAccepted();
        });
    }
    if (!isMissingRecords_) {
        applyAll(records, applied);
    }
}

void ConfigurationReplica::applyAll(const std::vector<ConfigurationRecord> &records, std::vector<AppliedRecord> &applied)
{
    for (const ConfigurationRecord &record : records) {
        const std::optional<Offset> coveredOffset = ConfigurationLog::snapshotCoveredOffset(record.payload);
        if (coveredOffset && *coveredOffset < record.offset) {
            snapshotCoveredOffset_ = std::max(snapshotCoveredOffset_, *coveredOffset);
        }
        const ApplyResult result = log_.apply(record.offset, record.payload);
        if (result.verdict != ApplyResult::Verdict::Ignored) {
            applied.push_back({record.offset, result});
        }
    }
}

std::vector<AppliedRecord> ConfigurationReplica::applyFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, Time now)
{
    std::vector<AppliedRecord> applied;
    const std::optional<ListHeader> header = readHeader(records);
    if (!header) {
        return applied;
    }
    for (std::size_t i = 1; i < records.size(); ++i) {
        const ConfigurationRecord &record = records[i];
        if (ConfigurationLog::snapshotCoveredOffset(record.payload)) {
            const ApplyResult result = log_.restore(record.payload);
            if (result.isAccepted()) {
                applied.push_back({record.offset, result});
            }
        } else if (header->completeAfter < log_.nextOffset()) {
            const ApplyResult result = log_.apply(record.offset, record.payload);
            if (result.verdict != ApplyResult::Verdict::Ignored) {
                applied.push_back({record.offset, result});
            }
        }
    }
    if (header->confirmedAge && peerVersion == log_.state().version) {
        isMissingRecords_ = isMissingRecords_ && applied.empty();
        confirm(now - *header->confirmedAge);
    }
    return applied;
}

std::vector<ConfigurationRecord> ConfigurationReplica::recordsFor(ConfigurationVersion peerVersion, Time now) const
{
    nlohmann::json header = {{"kind", HEADER_KIND}};
    if (confirmedAt_) {
        header[CONFIRMED_AGE_FIELD] = std::max(now - *confirmedAt_, Duration(0)).count();
    }
    std::vector<ConfigurationRecord> records = {{Offset(peerVersion.count()), header.dump()}};
    for (ConfigurationRecord &record : log_.acceptedAfter(peerVersion)) {
        records.push_back(std::move(record));
    }
    return records;
}

void ConfigurationReplica::confirm(Time at)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, at) : at;
}

std::optional<Time> ConfigurationReplica::confirmedAt() const
{
    return confirmedAt_;
}

bool ConfigurationReplica::isMissingRecords() const
{
    return isMissingRecords_;
}

Offset ConfigurationReplica::snapshotCoveredOffset() const
{
    return snapshotCoveredOffset_;
}

} // namespace mimosatally
