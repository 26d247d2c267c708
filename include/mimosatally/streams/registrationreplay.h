#pragma once

#include <mimosatally/Membership>
#include <mimosatally/streams/registeredslots.h>

#include <functional>
#include <map>
#include <optional>

namespace mimosatally
{

/// \brief Endpoints that were registered at each place of the store's records, which are applied one by one. Performs no I/O.
class RegistrationReplay
{
public:
    using Endpoints = std::map<EndpointId, EndpointRecord>;

    /// \brief An entry lives for three heartbeat intervals or more, so after this many all entries that are older than the first record have shown.
    static constexpr int INTERVALS_UNTIL_WHOLE = 4;

    /// \brief Begins with the records that the store ever had (\a complete), or with later ones.
    explicit RegistrationReplay(bool complete = false);

    /// \brief Begins anew with all endpoints that are registered at one place.
    void restart(Endpoints endpoints);

    /// \brief Applies the next record. \param record empty if it removes the entry or cannot be read. \param onState is called with each further state by which
    /// streams may begin: all endpoints are known, and one has come, gone or changed.
    void apply(const EndpointId &id, const std::optional<EndpointRecord> &record, const std::function<void(const RegisteredSlots &)> &onState);

    /// \brief Returns whether all endpoints that are registered at the present place are known.
    [[nodiscard]] bool isWhole() const;

private:
    Endpoints endpoints_;
    RegisteredSlots slots_;
    HeartbeatSpan span_;
    bool complete_;
    bool whole_ = false;
};

} // namespace mimosatally
