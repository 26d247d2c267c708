#pragma once

#include <mimosatally/Core>

#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Returns the text that the signature of a `publish` or `change` record covers.
std::string signedDocumentText(std::string_view kind, const RecordId &id, Offset base, const OperatorId &operatorId, const std::string &document);

/// \brief Returns the text that the signature of a record about one instance covers.
std::string signedInstanceText(const RecordId &id, std::string_view kind, const InstanceId &instance, const OperatorId &operatorId);

} // namespace mimosatally::internal
