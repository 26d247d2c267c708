#pragma once

#include <mimosatally/Core>

#include <optional>
#include <string>

namespace mimosatally
{

/// \brief Record of stream `configuration` as stored in the log.
struct ConfigurationRecord {
    Offset offset;
    /// \brief JSON text.
    std::string payload;

    bool operator==(const ConfigurationRecord &) const = default;
};

/// \brief Action that an operator can request for an instance.
enum class InstanceAction {
    /// \brief The instance finishes its work and receives no new work.
    Drain,
    /// \brief A drained instance was replaced and is in service again.
    Replace,
    /// \brief As Drain; the instance cannot return to service under its name.
    Withdraw,
};

std::string_view toString(InstanceAction action);

/// \brief Form of a document that defines the next configuration.
enum class DocumentKind {
    /// \brief The document has the full configuration; record kind `publish`.
    Full,
    /// \brief The document has the difference from the base; record kind `change`. \sa formatChange
    Change,
};

std::string_view toString(DocumentKind kind);

/// \brief Returns a signed record with a document, as JSON text.
/// \param base offset of the last accepted `publish` or `change` record, -1 for the first.
/// \throws MalformedInputError if the private key is invalid or the document is not UTF-8.
std::string makePublishRecord(const RecordId &id,
                              Offset base,
                              const OperatorId &operatorId,
                              const std::string &document,
                              const std::string &privateKey,
                              DocumentKind kind = DocumentKind::Full);

/// \brief Returns a signed record about one instance, as JSON text. \throws MalformedInputError if the private key is invalid.
std::string makeInstanceRecord(
    const RecordId &id, InstanceAction action, const InstanceId &instance, const OperatorId &operatorId, const std::string &privateKey);

} // namespace mimosatally
