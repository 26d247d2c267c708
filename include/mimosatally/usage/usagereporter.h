#pragma once

#include "usageledger.h"
#include "usagereport.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace mimosatally
{

/// \brief Newest reports as they are kept in the store; a value is written as a whole and replaces the last one.
struct UsageRecord {
    /// \brief Maximum number of reports in a record.
    static constexpr std::size_t MAX_REPORTS = 8;

    /// \brief Era of the store in which the record was written.
    StoreEra era;
    /// \brief First window about which nothing was decided; all earlier ones were written at some time, or are never reported.
    UsageWindow next;
    /// \brief Newest window whose report needs no further sending; empty if there is none.
    std::optional<UsageWindow> settled;
    /// \brief In the order of their windows.
    std::vector<UsageReport> reports;

    bool operator==(const UsageRecord &) const = default;
};

/// \brief Lease under which reports are written and sent.
struct UsageTenure {
    std::int64_t token = 0;
    /// \brief Time at which the lease was acquired.
    Time acquired;
    StoreEra era;
    /// \brief Time at which this process first saw the era.
    Time eraSince;
};

/// \brief What the reporter knows about time and counts when it decides.
struct UsageView {
    Time now;
    /// \brief True time in milliseconds since the start of 1970.
    std::int64_t unixMs = 0;
    std::function<WindowTotals(UsageWindow)> totals;
    /// \brief Newest window that any process is known to have written.
    std::optional<UsageWindow> lastWritten;
};

/// \brief Consecutive windows that are not reported.
struct UsageGap {
    UsageWindow first;
    std::int64_t count = 0;
    /// \brief An earlier holder may have written and sent them before the store lost what was written.
    bool maybeReported = false;
};

/// \brief Nothing is to be done now.
struct UsageWait {
};

/// \brief Append without a record that takes the epoch, after which the store rejects appends of earlier holders.
struct UsageEpochClaim {
    std::int64_t sequence = 0;
};

struct UsageRead {
};

struct UsageWrite {
    std::int64_t sequence = 0;
    UsageRecord record;
    /// \brief Processes whose counts of a window that is written for the first time may be missing.
    std::map<UsageWindow, std::vector<ProcessId>> unclosed;
};

struct UsageSend {
    UsageReport report;
};

using UsageAction = std::variant<UsageWait, UsageEpochClaim, UsageRead, UsageWrite, UsageSend>;

/// \brief Decides which usage report the holder of the lease writes or sends next. Performs no I/O.
///
/// A report is sent only after the store has acknowledged it under the current token, so that a later holder finds it and repeats the same counts. A window
/// that an earlier holder may have written, and whose counts are not known, is never reported. The caller carries out one action at a time and records its
/// result; an action without an answer is decided again, with the same content.
class UsageReporter
{
public:
    struct Options {
        Duration window = Duration(5000);
        /// \brief Time after the end of a window until which its report is due.
        Duration due = Duration(10'000);
    };

    explicit UsageReporter(Options options);

    /// \brief Begins to act under a lease. If it has the token of the last one, unanswered appends are continued, since they can still take effect.
    void acquire(const UsageTenure &tenure);

    /// \brief Stops all actions until the next lease.
    void lose();

    /// \brief Returns the token under which the reporter acts; empty without a lease.
    [[nodiscard]] std::optional<std::int64_t> token() const;

    UsageAction next(const UsageView &view);

    /// \brief The store has executed the last append.
    void recordAppended();

    /// \brief The store has rejected the last append, since it expects another number. \param expected empty if it does not state the number.
    /// \return false if the lease cannot be used any more, since an unanswered append could take effect later.
    [[nodiscard]] bool recordOutOfSequence(std::optional<std::int64_t> expected);

    /// \brief The last append or read was not answered; it is repeated after a pause. \param jitter random number in [0, 1).
    void recordStoreFailure(Time now, double jitter);

    /// \brief The store has returned its newest record; empty if there is none. \param view the same as for next()
    void recordRead(const std::optional<UsageRecord> &record, const UsageView &view);

    /// \brief The platform has accepted the report of \a window.
    void recordAccepted(UsageWindow window);

    /// \brief The last report was not accepted; it is repeated after a pause. \param jitter random number in [0, 1).
    void recordSendFailure(Time now, double jitter);

    /// \brief Returns the windows given up since the last call.
    std::vector<UsageGap> takeMissed();

    [[nodiscard]] std::optional<UsageWindow> lastWritten() const;
    [[nodiscard]] std::optional<UsageWindow> lastAccepted() const;

private:
    enum class Stage {
        Claim,
        Read,
        Report,
    };

    [[nodiscard]] std::int64_t endOf(UsageWindow window) const;
    [[nodiscard]] UsageWindow windowAt(std::int64_t unixMs) const;
    /// \brief First window that is not yet given up.
    [[nodiscard]] UsageWindow firstNotOverdue(const UsageView &view) const;
    /// \brief Returns true if the store cannot have lost a report of another process that \a record lacks.
    [[nodiscard]] bool knowsAllWritten(const std::optional<UsageRecord> &record) const;
    void merge(const UsageRecord &record);
    /// \brief Takes from a record of an earlier era which of the known reports the store has.
    void mergeEarlierEra(const UsageRecord &record);
    void giveUpOverdue(const UsageView &view);
    void settle(UsageWindow window);
    [[nodiscard]] bool isSettled(UsageWindow window) const;
    /// \brief Returns true if the counts of \a window are final, or will not be waited for.
    [[nodiscard]] bool isReady(UsageWindow window, const WindowTotals &totals, const UsageView &view) const;
    /// \brief Sets `pending_` if the store lacks a report.
    void prepareWrite(const UsageView &view);
    [[nodiscard]] const UsageReport *nextToSend() const;
    [[nodiscard]] UsageAction nextReportAction(const UsageView &view);

    Options options_;
    /// \brief Current or last lease.
    UsageTenure tenure_;
    bool hadTenure_ = false;
    bool active_ = false;
    Stage stage_ = Stage::Claim;
    std::int64_t sequence_ = 0;
    /// \brief Append of the current sequence number, which is repeated unchanged.
    std::optional<UsageWrite> pending_;
    /// \brief An attempt at the append of the current sequence number was not answered.
    bool unanswered_ = false;
    /// \brief Newest reports that are known to have been written, under any lease.
    std::map<UsageWindow, UsageReport> written_;
    /// \brief Those that the store has under the current lease.
    std::set<UsageWindow> stored_;
    UsageWindow next_;
    std::optional<UsageWindow> settled_;
    std::optional<UsageWindow> lastAccepted_;
    std::vector<UsageGap> missed_;
    /// \brief Last time at which the reporter held a lease and had read what earlier holders had written.
    std::optional<Time> lastReporting_;
    /// \brief This process held the lease when the era began, so all reports that were written by then are its own or were read by it.
    bool heldAtEraStart_ = false;
    Time storeNotBefore_ = Time::min();
    Time sendNotBefore_ = Time::min();
    int storeFailures_ = 0;
    int sendFailures_ = 0;
};

} // namespace mimosatally
