#pragma once

#include <mimosatally/Serving>

#include <optional>

namespace mimosatally::internal
{

/// \brief Stream to which the events of one call belong, with the service and the software version that alone may continue it.
///
/// What endpoints of two services or software versions write does not fit together, and they do not check it.
class StreamIdentity
{
public:
    /// \param root request that brings the first event.
    StreamIdentity(RequestId root, ServiceId service);

    /// \brief Makes the call continue a stream whose first event an earlier request brought.
    void resume(RequestId root, ServiceId service, SoftwareVersion version);

    /// \brief Records the endpoint to which the next attempt is sent, as it is registered then.
    void recordSent(const EndpointRecord &endpoint);

    /// \brief Returns whether events of the attempt's endpoint may follow those before them.
    /// \param current present entry of the endpoint; null if there is none.
    [[nodiscard]] bool accepts(const EndpointRecord *current) const;

    /// \brief Returns the version that answers the attempt; empty if the endpoint has started again since the attempt was sent.
    [[nodiscard]] SoftwareVersion writer(const EndpointRecord *current) const;

    /// \brief Binds the stream to the version of the attempt's endpoint, which has written an event, unless it is bound already.
    void bind(const EndpointRecord *current);

    [[nodiscard]] const RequestId &root() const;
    [[nodiscard]] const ServiceId &service() const;
    /// \brief Returns the version that wrote the first event; empty before that event. The version is an empty one if it is not known.
    [[nodiscard]] const std::optional<SoftwareVersion> &version() const;

    /// \brief Returns the version and the start of the endpoint of the last attempt, as it was registered when the attempt was sent.
    [[nodiscard]] const SoftwareVersion &sentVersion() const;
    [[nodiscard]] std::int64_t sentStartedAt() const;

private:
    RequestId root_;
    ServiceId service_;
    std::optional<SoftwareVersion> version_;
    SoftwareVersion sentVersion_;
    std::int64_t sentStartedAt_ = 0;
};

} // namespace mimosatally::internal
