#include "streamidentity.h"

namespace mimosatally::internal
{

StreamIdentity::StreamIdentity(RequestId root, ServiceId service)
    : root_(std::move(root))
    , service_(std::move(service))
{
}

void StreamIdentity::resume(RequestId root, ServiceId service, SoftwareVersion version)
{
    root_ = std::move(root);
    service_ = std::move(service);
    version_ = std::move(version);
}

void StreamIdentity::recordSent(const EndpointRecord &endpoint)
{
    sentVersion_ = endpoint.version;
    sentStartedAt_ = endpoint.startedAt;
}

SoftwareVersion StreamIdentity::writer(const EndpointRecord *current) const
{
    const bool isUnchanged = current == nullptr || (current->startedAt == sentStartedAt_ && current->version == sentVersion_);
    return isUnchanged ? sentVersion_ : SoftwareVersion();
}

bool StreamIdentity::accepts(const EndpointRecord *current) const
{
    return !version_ || isSameVersion(*version_, writer(current));
}

void StreamIdentity::bind(const EndpointRecord *current)
{
    if (!version_) {
        version_ = writer(current);
    }
}

const RequestId &StreamIdentity::root() const
{
    return root_;
}

const ServiceId &StreamIdentity::service() const
{
    return service_;
}

const std::optional<SoftwareVersion> &StreamIdentity::version() const
{
    return version_;
}

const SoftwareVersion &StreamIdentity::sentVersion() const
{
    return sentVersion_;
}

std::int64_t StreamIdentity::sentStartedAt() const
{
    return sentStartedAt_;
}

} // namespace mimosatally::internal
