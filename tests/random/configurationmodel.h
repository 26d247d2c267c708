#pragma once

#include "configuration/sampleconfiguration.h"

#include <mimosatally/Config>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace mimosatally::testing
{

using samples::SampleOperator;

/// \brief Model of the log with all records, and a reference reader that applies every record in order.
class ModelLog
{
public:
    explicit ModelLog(const Operator &signer)
        : reference(std::vector<Operator> {signer})
    {
        recordState();
    }

    void append(const std::string &payload)
    {
        const Offset offset(static_cast<std::int64_t>(records_.size()));
        records_.push_back({offset, payload});
        const ApplyResult result = reference.apply(offset, payload);
        if (result.isAccepted()) {
            const nlohmann::json json = nlohmann::json::parse(payload);
            acceptedPerId[json.at("id")] += 1;
            if (json.contains("base")) {
                acceptedPerBase[json["base"]] += 1;
            }
        }
        recordState();
    }

    [[nodiscard]] std::vector<ConfigurationRecord> read(Offset from, std::size_t limit) const
    {
        std::vector<ConfigurationRecord> result;
        for (auto i = static_cast<std::size_t>(std::max(from.count(), firstKept)); i < records_.size() && result.size() < limit; ++i) {
            result.push_back(records_[i]);
        }
        return result;
    }

    [[nodiscard]] std::int64_t size() const
    {
        return static_cast<std::int64_t>(records_.size());
    }

    /// \brief State after the first \a count records, as text.
    [[nodiscard]] const std::string &stateAfter(std::int64_t count) const
    {
        return states_.at(static_cast<std::size_t>(count));
    }

    static std::string describe(const ConfigurationState &state)
    {
        std::string text = std::to_string(state.version.count()) + '/' + std::to_string(state.documentOffset.count()) + '\n';
        for (const auto &[instance, instanceState] : state.instanceStates) {
            text += instance.value() + '=' + std::to_string(static_cast<int>(instanceState)) + '\n';
        }
        return text + formatConfiguration(state.configuration);
    }

    ConfigurationLog reference;
    std::map<std::string, int> acceptedPerId;
    std::map<std::int64_t, int> acceptedPerBase;
    std::int64_t firstKept = 0;

private:
    void recordState()
    {
        states_.push_back(describe(reference.state()));
    }

    std::vector<ConfigurationRecord> records_;
    std::vector<std::string> states_;
};

/// \brief Answer of the log, or list of a peer, that is in flight to a reader.
struct Message {
    bool isFromLog = false;
    Offset requestedOffset;
    std::vector<ConfigurationRecord> records;
    ConfigurationVersion peerVersion;
    Time sentAt;
};

/// \brief Reader with at most one read of the log and any number of peer lists in flight.
struct Reader {
    ConfigurationReplica replica;
    std::optional<Message> pendingRead;
    std::vector<Message> pendingLists;
    ConfigurationVersion lastVersion = ConfigurationVersion(-1);

    explicit Reader(const Operator &signer)
        : replica({signer})
    {
    }
};

} // namespace mimosatally::testing
