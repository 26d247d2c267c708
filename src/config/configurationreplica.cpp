#include <mimosatally/Config>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace
{
constexpr const char *HEADER_KIND = "header";
constexpr const char *AGE_FIELD = "confirmed_age_ms";

struct ListHeader {
    Offset completeAfter;
    /// \brief Nothing if the peer's version was never confirmed.
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
    const auto age = json.find(AGE_FIELD);
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

Offset ConfigurationReplica::nextRead() const
{
    return collected_.empty() ? log_.nextOffset() : collected_.back().offset + Offset(1);
}

std::vector<AppliedRecord> ConfigurationReplica::takeFromLog(Offset asked, const std::vector<ConfigurationRecord> &records, bool reachedEnd, Time started)
{
    std::vector<AppliedRecord> applied;
    const bool hasGap = !records.empty() && records.front().offset > asked;
    if (collected_.empty() && !(hasGap && records.front().offset > log_.nextOffset())) {
        if (asked > log_.nextOffset()) {
            return applied;
        }
        applyAll(records, applied);
    } else {
        // A gap while collecting means that retention overtook the reader, so what was collected is not contiguous.
        if (hasGap) {
            collected_.clear();
        }
        collect(records);
        if (!reachedEnd) {
            return applied;
        }
        finishCatchUp(applied);
    }
    if (reachedEnd && !lacksRecords_) {
        confirm(started);
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
    lacksRecords_ = false;
    if (firstKept > log_.nextOffset()) {
        lacksRecords_ = std::none_of(records.rbegin(), records.rend(), [&](const ConfigurationRecord &record) {
            const std::optional<Offset> covers = ConfigurationLog::snapshotCovers(record.payload);
            if (!covers || *covers + Offset(1) < firstKept || *covers >= record.offset) {
                return false;
            }
            const ApplyResult result = log_.restore(record.payload);
            if (result.isAccepted()) {
                applied.push_back({*covers, result});
            }
            return result.isAccepted();
        });
    }
    if (!lacksRecords_) {
        applyAll(records, applied);
    }
}

void ConfigurationReplica::applyAll(const std::vector<ConfigurationRecord> &records, std::vector<AppliedRecord> &applied)
{
    for (const ConfigurationRecord &record : records) {
        const std::optional<Offset> covers = ConfigurationLog::snapshotCovers(record.payload);
        if (covers && *covers < record.offset) {
            snapshotCovers_ = std::max(snapshotCovers_, *covers);
        }
        const ApplyResult result = log_.apply(record.offset, record.payload);
        if (result.verdict != ApplyResult::Verdict::Ignored) {
            applied.push_back({record.offset, result});
        }
    }
}

std::vector<AppliedRecord> ConfigurationReplica::takeFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion, Time now)
{
    std::vector<AppliedRecord> applied;
    const std::optional<ListHeader> header = readHeader(records);
    if (!header) {
        return applied;
    }
    for (std::size_t i = 1; i < records.size(); ++i) {
        const ConfigurationRecord &record = records[i];
        if (ConfigurationLog::snapshotCovers(record.payload)) {
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
        lacksRecords_ = lacksRecords_ && applied.empty();
        confirm(now - *header->confirmedAge);
    }
    return applied;
}

std::vector<ConfigurationRecord> ConfigurationReplica::recordsFor(ConfigurationVersion peerVersion, Time now) const
{
    nlohmann::json header = {{"kind", HEADER_KIND}};
    if (confirmedAt_) {
        header[AGE_FIELD] = std::max(now - *confirmedAt_, Duration(0)).count();
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

bool ConfigurationReplica::lacksRecords() const
{
    return lacksRecords_;
}

Offset ConfigurationReplica::snapshotCovers() const
{
    return snapshotCovers_;
}

} // namespace mimosatally
