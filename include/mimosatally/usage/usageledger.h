#pragma once

#include "usagereport.h"

#include <boost/container/flat_map.hpp>
#include <map>
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
    /// \brief Sum of all counts of a closed window if the notice has only some of them; the window counts as closed once that many are known.
    std::optional<std::int64_t> closedTotal;
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
    /// \brief Windows that are kept up to the oldest unclosed one; older ones are dropped.
    static constexpr std::int64_t MAX_WINDOWS = 8;
    /// \brief Limits, for each window, the memory that forged notices can take up.
    static constexpr std::size_t MAX_PROCESSES = 1024;
    /// \brief Counts of other processes that are kept for all windows together, at 40 bytes each, besides their sums.
    static constexpr std::size_t MAX_COUNTS = 300'000;
    /// \brief Bounds what a forged count can add: 200,000 requests a second from one process.
    static constexpr std::int64_t MAX_COUNT = 1'000'000;
    /// \brief Times that the notice of a closed window is sent, so that all of three datagrams have to be lost.
    static constexpr int CLOSED_NOTICES = 3;

    explicit UsageLedger(ProcessId self);

    /// \brief Counts a run of this process that began in \a window. \return false if the window is closed or no longer kept.
    bool count(UsageWindow window, const OrganisationId &organisation);

    /// \brief Closes the windows before \a current for this process and drops old ones. If \a current is over MAX_WINDOWS back, it starts anew.
    void advance(UsageWindow current);

    /// \brief Closes all windows for this process, which is about to end.
    void leave();

    /// \brief Records the notice of another process.
    void record(const UsageNotice &notice);

    /// \brief Returns the notices to send to the other processes: one for each window of this process that changed since the last call, or, if
    /// \a all, for each window that is kept.
    std::vector<UsageNotice> takeNotices(bool all);

    /// \brief Returns the sum of a window. Processes whose notice has no counts have counted zero and are named as well.
    [[nodiscard]] WindowTotals totals(UsageWindow window) const;

    /// \brief Records that the report of \a window is written down, by this process or, as a peer tells, by another.
    void recordWritten(UsageWindow window);

    /// \brief Newest window whose report is known to be written down; empty if none is.
    [[nodiscard]] std::optional<UsageWindow> lastWritten() const;

    [[nodiscard]] const ProcessId &self() const;

    /// \brief Oldest window that this process has not closed; empty before advance().
    [[nodiscard]] std::optional<UsageWindow> current() const;

    /// \brief Number of notices that were ignored in whole or in part: windows that are not kept, counts that are out of range, or too many.
    [[nodiscard]] std::uint64_t ignoredNotices() const;

private:
    using Counts = boost::container::flat_map<OrganisationId, std::int64_t>;

    struct ProcessCounts {
        Counts counts;
        std::int64_t sum = 0;
        std::uint64_t sequence = 0;
        /// \brief Sum of the counts of a closed window; empty if it is not closed.
        std::optional<std::int64_t> closedTotal;

        [[nodiscard]] bool isClosed() const;
    };

    /// \brief Counts of this process in one window.
    struct OwnCounts {
        ProcessCounts counts;
        /// \brief Notices that are still to be sent.
        int notices = 1;
    };

    using Processes = std::map<ProcessId, ProcessCounts>;

    [[nodiscard]] bool isKept(UsageWindow window) const;
    void close(OwnCounts &own);
    void drop(UsageWindow oldest);
    /// \brief Raises the counts of \a known to those of \a notice. \return whether all could be recorded.
    bool raiseCounts(ProcessCounts &known, const UsageNotice &notice);
    /// \brief Adds the processes that are known in \a seenIn and have not closed \a window.
    void addUnclosed(UsageWindow seenIn, UsageWindow window, std::vector<ProcessId> &unclosed) const;

    ProcessId self_;
    std::optional<UsageWindow> current_;
    std::optional<UsageWindow> lastWritten_;
    std::map<UsageWindow, OwnCounts> own_;
    std::map<UsageWindow, Processes> others_;
    /// \brief Sums of own_ and others_, which are asked for several times a second.
    std::map<UsageWindow, UsageCounts> sums_;
    std::size_t countsHeld_ = 0;
    std::uint64_t ignored_ = 0;
    bool left_ = false;
};

} // namespace mimosatally
