#include "audit/chainformat.h"

#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

namespace
{
using Json = nlohmann::json;
} // namespace

std::string initialChainHash(const ProcessId &process, const IncarnationId &incarnation)
{
    return sha256Hex(process.value() + '/' + incarnation.value());
}

std::string chainRecordText(const Decision &decision, std::int64_t sequence, const std::string &previousHash)
{
    Json record = {{"sequence", sequence},
                   {"previous", previousHash},
                   {"kind", toString(decision.kind)},
                   {"version", decision.version.count()},
                   {"at_ms", decision.at.time_since_epoch().count()}};
    if (!decision.request.empty()) {
        record["request"] = decision.request.value();
    }
    if (!decision.customer.empty()) {
        record["customer"] = decision.customer.value();
    }
    if (decision.unconfirmed) {
        record["unconfirmed"] = true;
    }
    try {
        record["inputs"] = Json::parse(decision.inputs);
        return record.dump();
    } catch (const Json::exception &error) {
        throw MalformedInputError(std::string("decision inputs are not JSON: ") + error.what());
    }
}

BatchWriter::BatchWriter(const ProcessId &process, const IncarnationId &incarnation)
    : header_(Json {{"kind", "batch"}, {"id", newUniqueId()}, {"process", process.value()}, {"incarnation", incarnation.value()}}.dump())
{
}

void BatchWriter::addGap(std::int64_t from, std::int64_t count, const std::string &hash)
{
    addRecord(Json {{"kind", "gap"}, {"from", from}, {"count", count}, {"hash", hash}}.dump(), hash);
}

void BatchWriter::addRecord(const std::string &text, const std::string &hash)
{
    if (!records_.empty()) {
        records_ += ',';
    }
    records_ += text;
    lastHash_ = hash;
}

bool BatchWriter::empty() const
{
    return records_.empty();
}

std::size_t BatchWriter::size() const
{
    return header_.size() + records_.size() + lastHash_.size();
}

std::string BatchWriter::finish() const
{
    return header_.substr(0, header_.size() - 1) + R"(,"hash":")" + lastHash_ + R"(","records":[)" + records_ + "]}";
}

} // namespace mimosatally::internal
