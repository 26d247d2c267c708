#include <mimosatally/Config>

#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace
{
constexpr const char *SNAPSHOT_KIND = "snapshot";

nlohmann::json parseSnapshot(const std::string &payload)
{
    // Most records are not snapshots; the text search avoids parsing them twice.
    if (payload.find(SNAPSHOT_KIND) == std::string::npos) {
        return nlohmann::json::value_t::discarded;
    }
    nlohmann::json json = nlohmann::json::parse(payload, nullptr, false);
    const bool isSnapshot =
        json.is_object() && json.value("kind", nlohmann::json()) == SNAPSHOT_KIND && json.value("covers", nlohmann::json()).is_number_integer();
    return isSnapshot ? json : nlohmann::json(nlohmann::json::value_t::discarded);
}

nlohmann::json instancesToJson(const std::map<InstanceId, InstanceState> &states)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto &[instance, state] : states) {
        json[instance.value()] = state == InstanceState::Withdrawn ? "withdrawn" : "draining";
    }
    return json;
}

ConfigurationState stateFromJson(const nlohmann::json &json)
{
    ConfigurationState state;
    state.version = ConfigurationVersion(json.at("version").get<std::int64_t>());
    state.documentOffset = Offset(json.at("document_offset").get<std::int64_t>());
    if (state.documentOffset >= Offset(0)) {
        state.configuration = parseConfiguration(json.at("document").get<std::string>(), "snapshot");
    }
    for (const auto &[instance, text] : json.at("instances").items()) {
        state.instanceStates[InstanceId(instance)] = text == "withdrawn" ? InstanceState::Withdrawn : InstanceState::Draining;
    }
    return state;
}
} // namespace

std::optional<Offset> ConfigurationLog::snapshotCoveredOffset(const std::string &payload)
{
    const nlohmann::json json = parseSnapshot(payload);
    return json.is_discarded() ? std::nullopt : std::optional(Offset(json["covers"].get<std::int64_t>()));
}

std::string ConfigurationLog::snapshot(const RecordId &id) const
{
    nlohmann::json ids = nlohmann::json::array();
    for (const RecordId &accepted : acceptedIds_) {
        ids.push_back(accepted.value());
    }
    return nlohmann::json {
        {"kind", SNAPSHOT_KIND},
        {"id", id.value()},
        {"covers", nextOffset_.count() - 1},
        {"version", state_.version.count()},
        {"document_offset", state_.documentOffset.count()},
        {"document", formatConfiguration(state_.configuration)},
        {"instances", instancesToJson(state_.instanceStates)},
        {"accepted_ids", std::move(ids)},
    }
        .dump();
}

ApplyResult ConfigurationLog::restore(const std::string &snapshot)
{
    const nlohmann::json json = parseSnapshot(snapshot);
    if (json.is_discarded()) {
        return {ApplyResult::Verdict::Void, "record is not a snapshot"};
    }
    const Offset coveredOffset(json["covers"].get<std::int64_t>());
    if (coveredOffset < nextOffset_) {
        return {ApplyResult::Verdict::Ignored, "snapshot of records that are already applied"};
    }
    try {
        ConfigurationState state = stateFromJson(json);
        if (state.version < state_.version || state.version.count() > coveredOffset.count()) {
            return {ApplyResult::Verdict::Void, "snapshot version is below the current version or above the covered offset"};
        }
        std::deque<RecordId> ids;
        for (const nlohmann::json &id : json.at("accepted_ids")) {
            ids.emplace_back(id.get<std::string>());
        }
        state_ = std::move(state);
        acceptedIds_ = std::move(ids);
    } catch (const std::exception &error) {
        return {ApplyResult::Verdict::Void, std::string("snapshot is malformed: ") + error.what()};
    }
    nextOffset_ = coveredOffset + Offset(1);
    accepted_.clear();
    acceptedBytes_ = 0;
    acceptedSince_ = state_.version;
    return {ApplyResult::Verdict::Accepted, {}};
}

} // namespace mimosatally
