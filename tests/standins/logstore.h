#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace mimosatally::standin
{

/// \brief In-memory streams with offsets and retention by count, in the JSON format of the Kafka REST proxy, version 1.
class LogStore
{
public:
    using Json = nlohmann::ordered_json;

    /// \param retention number of records that a stream keeps; 0 keeps all.
    explicit LogStore(std::size_t retention)
        : retention_(retention)
    {
    }

    /// \brief Appends the records of a produce request. \return body of the answer. \throws nlohmann::json::exception
    Json append(const std::string &topic, const Json &request)
    {
        Stream &stream = streams_[topic];
        Json offsets = Json::array();
        for (const Json &record : request.at("records")) {
            offsets.push_back({{"partition", 0}, {"offset", stream.firstOffset + static_cast<std::int64_t>(stream.values.size())}});
            stream.values.push_back(record.at("value"));
        }
        trim(stream);
        appendCount_ += 1;
        return {{"offsets", offsets}, {"key_schema_id", nullptr}, {"value_schema_id", nullptr}};
    }

    /// \brief Returns up to \a count records from \a offset on, or from the oldest one that is kept if retention removed \a offset.
    [[nodiscard]] Json read(const std::string &topic, std::int64_t offset, std::int64_t count) const
    {
        Json messages = Json::array();
        const auto found = streams_.find(topic);
        if (found == streams_.end()) {
            return messages;
        }
        const Stream &stream = found->second;
        const std::int64_t end = stream.firstOffset + static_cast<std::int64_t>(stream.values.size());
        for (std::int64_t position = std::max(offset, stream.firstOffset); position < end && count > 0; ++position, --count) {
            messages.push_back(
                {{"key", nullptr}, {"value", stream.values[static_cast<std::size_t>(position - stream.firstOffset)]}, {"partition", 0}, {"offset", position}});
        }
        return messages;
    }

    [[nodiscard]] bool contains(const std::string &topic) const
    {
        return streams_.contains(topic);
    }

    void setRetention(std::size_t retention)
    {
        retention_ = retention;
        for (auto &[topic, stream] : streams_) {
            trim(stream);
        }
    }

    [[nodiscard]] std::uint64_t appendCount() const
    {
        return appendCount_;
    }

private:
    struct Stream {
        std::int64_t firstOffset = 0;
        std::deque<Json> values;
    };

    void trim(Stream &stream) const
    {
        while (retention_ > 0 && stream.values.size() > retention_) {
            stream.values.pop_front();
            stream.firstOffset += 1;
        }
    }

    std::size_t retention_;
    std::map<std::string, Stream> streams_;
    std::uint64_t appendCount_ = 0;
};

} // namespace mimosatally::standin
