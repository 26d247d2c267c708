#pragma once

#include <mimosatally/Core>
#include <mimosatally/Usage>

#include <cstdint>
#include <optional>
#include <vector>

namespace mimosatally::internal
{

/// \brief Hash of an organisation's name, by which datagrams name it.
[[nodiscard]] std::uint64_t hashOf(const OrganisationId &organisation);

/// \brief Count of one organisation as datagrams carry it.
struct HashedCount {
    std::uint64_t organisation = 0;
    std::int64_t count = 0;

    bool operator==(const HashedCount &) const = default;
};

/// \brief UsageNotice, or a part of one, as datagrams carry it.
struct HashedUsageNotice {
    ProcessId process;
    UsageWindow window;
    std::uint64_t sequence = 0;
    /// \brief Sum of all counts of the window if it is closed, also of those in other datagrams.
    std::optional<std::int64_t> closedTotal;
    std::vector<HashedCount> counts;

    bool operator==(const HashedUsageNotice &) const = default;
};

/// \brief Longest id of a process in a notice.
constexpr std::size_t MAX_USAGE_PROCESS_BYTES = 96;
constexpr std::size_t MAX_USAGE_NOTICES_PER_DATAGRAM = 8;

} // namespace mimosatally::internal
