#include "recordtext.h"

#include <mimosatally/Config>

#include <nlohmann/json.hpp>

namespace mimosatally
{

namespace internal
{

// The signed text has one field per line. Records whose ids have line breaks are void, so no two different records have the
// same text.
std::string signedDocumentText(std::string_view kind, const RecordId &id, Offset base, const OperatorId &operatorId, const std::string &document)
{
    return "mimosatally " + std::string(kind) + '\n' + id.value() + '\n' + std::to_string(base.count()) + '\n' + operatorId.value() + '\n' + sha256Hex(document)
           + '\n';
}

std::string signedInstanceText(const RecordId &id, std::string_view kind, const InstanceId &instance, const OperatorId &operatorId)
{
    return "mimosatally " + std::string(kind) + '\n' + id.value() + '\n' + instance.value() + '\n' + operatorId.value() + '\n';
}

} // namespace internal

std::string_view toString(InstanceAction action)
{
    switch (action) {
    case InstanceAction::Drain:
        return "drain";
    case InstanceAction::Replace:
        return "replace";
    case InstanceAction::Withdraw:
        return "withdraw";
    }
    return "";
}

std::string_view toString(DocumentKind kind)
{
    return kind == DocumentKind::Full ? "publish" : "change";
}

std::string makePublishRecord(
    const RecordId &id, Offset base, const OperatorId &operatorId, const std::string &document, const std::string &privateKey, DocumentKind kind)
{
    const nlohmann::json json {
        {"kind", toString(kind)},
        {"id", id.value()},
        {"base", base.count()},
        {"operator", operatorId.value()},
        {"document", document},
        {"signature", signMessage(privateKey, internal::signedDocumentText(toString(kind), id, base, operatorId, document))},
    };
    try {
        return json.dump();
    } catch (const nlohmann::json::type_error &) {
        throw MalformedInputError("the document is not valid UTF-8");
    }
}

std::string makeInstanceRecord(
    const RecordId &id, InstanceAction action, const InstanceId &instance, const OperatorId &operatorId, const std::string &privateKey)
{
    return nlohmann::json {
        {"kind", toString(action)},
        {"id", id.value()},
        {"instance", instance.value()},
        {"operator", operatorId.value()},
        {"signature", signMessage(privateKey, internal::signedInstanceText(id, toString(action), instance, operatorId))},
    }
        .dump();
}

} // namespace mimosatally
