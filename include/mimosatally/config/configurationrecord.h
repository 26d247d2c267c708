#pragma once

#include <mimosatally/Core>

#include <optional>
#include <string>

namespace mimosatally
{

/// \brief One record of stream `configuration` as the log keeps it.
struct ConfigurationRecord {
    Offset offset;
    /// \brief JSON text.
    std::string payload;

    bool operator==(const ConfigurationRecord &) const = default;
};

/// \brief What an operator can ask of one instance.
enum class InstanceAction {
    /// \brief The instance finishes its work and receives no new work.
    Drain,
    /// \brief A drained instance was replaced and is in service again.
    Replace,
    /// \brief As Drain; the instance cannot return under its name.
    Withdraw,
};

std::string_view toString(InstanceAction action);

/// \brief How a document of an operator forms the next configuration.
enum class DocumentKind {
    /// \brief The document is the whole configuration; kind `publish`.
    Whole,
    /// \brief The document has the difference to the base; kind `change`. \sa formatChange
    Change,
};

std::string_view toString(DocumentKind kind);

/// \brief Signed record with a document as JSON text.
/// \param base offset of the last accepted `publish` or `change` record, -1 for the first.
/// \throws MalformedInputError if the private key is invalid or the document is not UTF-8.
std::string makePublishRecord(const RecordId &id,
                              Offset base,
                              const OperatorId &operatorId,
                              const std::string &document,
                              const std::string &privateKey,
                              DocumentKind kind = DocumentKind::Whole);

/// \brief Signed record about one instance as JSON text. \throws MalformedInputError if the private key is invalid.
std::string makeInstanceRecord(
    const RecordId &id, InstanceAction action, const InstanceId &instance, const OperatorId &operatorId, const std::string &privateKey);

} // namespace mimosatally
