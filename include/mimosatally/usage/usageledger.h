#pragma once

#include "usagereport.h"

#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief What one process has counted in one window, as it tells the others. Counts are cumulative, so a later notice replaces an earlier one.
struct UsageNotice {
    /// \brief Identifies the process and its start.
    ProcessId process;
    UsageWindow window;
    /// \brief Increases with each notice of the process on the window.
    std::uint64_t sequence = 0;
    /// \brief The process will count nothing more in this window.
    bool closed = false;
    UsageCounts counts;
};

/// \brief Sum of a window over all processes that this process knows.
struct WindowTotals {
    UsageCounts counts;
    /// \brief Processes that have counted in the window or the one before it and have not closed the window.
    std::vector<ProcessId> unclosed;
};

/// \brief Usage that this process and the others have counted, for a bounded number of windows, processes and organisations. Performs no I/O.
class UsageLedger
{
public:
    /// \brief Windows that are kept; older ones are dropped.
    static constexpr std::int64_t MAX_WINDOWS = 8;

    explicit UsageLedger(ProcessId self);

    /// \brief Counts a run of this process that began in \a window. \return false if the window is closed or no longer kept.
    bool count(UsageWindow window, const OrganisationId &organisation);

    /// \brief Closes the windows before \a current for this process and drops those that are too old.
    void advance(UsageWindow current);

    /// \brief Records the notice of another process.
    void record(const UsageNotice &notice);

    /// \brief Returns the notices to send to the other processes: one for each window of this process that changed since the last call, or, if
    /// \a all, for each window that is kept.
    std::vector<UsageNotice> takeNotices(bool all);

    [[nodiscard]] WindowTotals totals(UsageWindow window) const;

    /// \brief Records that the report of \a window is written down, by this process or, as a peer tells, by another.
    void recordWritten(UsageWindow window);

    /// \brief Newest window whose report is known to be written down; empty if none is.
    [[nodiscard]] std::optional<UsageWindow> lastWritten() const;
};

} // namespace mimosatally
