#include <mimosatally/usage/usageledger.h>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Windows after the oldest unclosed one in which runs can begin: the clocks of processes differ by less than one window.
constexpr UsageWindow MAX_LEAD = UsageWindow(2);
constexpr UsageWindow ONE_WINDOW = UsageWindow(1);
} // namespace

bool UsageLedger::ProcessCounts::isClosed() const
{
    return closedTotal && sum >= *closedTotal;
}

UsageLedger::UsageLedger(ProcessId self)
    : self_(std::move(self))
{
}

bool UsageLedger::isKept(UsageWindow window) const
{
    return current_ && window <= *current_ + MAX_LEAD && *current_ - window < UsageWindow(MAX_WINDOWS);
}

bool UsageLedger::count(UsageWindow window, const OrganisationId &organisation)
{
    if (!current_ || !isKept(window) || window < *current_ || left_) {
        return false;
    }
    OwnCounts &own = own_[window];
    ++own.counts.counts[organisation];
    ++own.counts.sum;
    ++sums_[window][organisation];
    own.notices = std::max(own.notices, 1);
    return true;
}

void UsageLedger::advance(UsageWindow current)
{
    const bool wasFarAhead = current_ && current + UsageWindow(MAX_WINDOWS) < *current_;
    if (left_ || (current_ && current <= *current_ && !wasFarAhead)) {
        return;
    }
    if (wasFarAhead) {
        // The time was wrong before any peer was heard; nobody else has kept windows so far ahead.
        own_.clear();
        others_.clear();
        sums_.clear();
        countsHeld_ = 0;
    }
    current_ = current;
    // Others wait for the counts of this process from its first notice on, also if it counts nothing.
    own_.try_emplace(current);
    for (auto &[window, own] : own_) {
        if (window < current) {
            close(own);
        }
    }
    drop(current - UsageWindow(MAX_WINDOWS - 1));
}

void UsageLedger::close(OwnCounts &own)
{
    if (own.counts.closedTotal) {
        return;
    }
    own.counts.closedTotal = own.counts.sum;
    own.notices = CLOSED_NOTICES;
}

void UsageLedger::drop(UsageWindow oldest)
{
    own_.erase(own_.begin(), own_.lower_bound(oldest));
    const auto end = others_.lower_bound(oldest);
    for (auto window = others_.begin(); window != end; ++window) {
        for (const auto &[process, known] : window->second) {
            countsHeld_ -= known.counts.size();
        }
    }
    others_.erase(others_.begin(), end);
    sums_.erase(sums_.begin(), sums_.lower_bound(oldest));
}

void UsageLedger::leave()
{
    if (!current_ || left_) {
        return;
    }
    // A process that is known in a window is expected in the next one, so the ones after the last are closed as well.
    for (UsageWindow window = *current_; window <= *current_ + MAX_LEAD; window += ONE_WINDOW) {
        own_.try_emplace(window);
    }
    for (auto &[window, own] : own_) {
        close(own);
    }
    left_ = true;
}

void UsageLedger::record(const UsageNotice &notice)
{
    if (!isKept(notice.window) || notice.process == self_ || notice.process.empty()) {
        ++ignored_;
        return;
    }
    Processes &processes = others_[notice.window];
    if (!processes.contains(notice.process) && processes.size() >= MAX_PROCESSES) {
        ++ignored_;
        return;
    }
    ProcessCounts &known = processes[notice.process];
    const bool whole = raiseCounts(known, notice);
    if (notice.closed && !known.closedTotal) {
        known.closedTotal = notice.closedTotal.value_or(known.sum);
    }
    ignored_ += whole ? 0 : 1;
}

bool UsageLedger::raiseCounts(ProcessCounts &known, const UsageNotice &notice)
{
    bool whole = true;
    UsageCounts &sums = sums_[notice.window];
    for (const auto &[organisation, count] : notice.counts) {
        const bool isKnown = known.counts.contains(organisation);
        if (count <= 0 || count > MAX_COUNT || (!isKnown && countsHeld_ >= MAX_COUNTS)) {
            whole = false;
            continue;
        }
        countsHeld_ += isKnown ? 0 : 1;
        std::int64_t &last = known.counts[organisation];
        // Counts only grow, so the higher one is the newer one. A forged sequence number cannot keep the notices of a process out.
        const std::int64_t growth = std::max<std::int64_t>(0, count - last);
        last += growth;
        known.sum += growth;
        sums[organisation] += growth;
    }
    return whole;
}

std::vector<UsageNotice> UsageLedger::takeNotices(bool all)
{
    std::vector<UsageNotice> notices;
    for (auto &[window, own] : own_) {
        if (!all && own.notices == 0) {
            continue;
        }
        own.notices = std::max(0, own.notices - 1);
        UsageNotice &notice = notices.emplace_back();
        notice.process = self_;
        notice.window = window;
        notice.sequence = ++own.counts.sequence;
        notice.closed = own.counts.isClosed();
        notice.counts = UsageCounts(own.counts.counts.begin(), own.counts.counts.end());
        notice.closedTotal = own.counts.closedTotal;
    }
    return notices;
}

WindowTotals UsageLedger::totals(UsageWindow window) const
{
    WindowTotals totals;
    const auto sums = sums_.find(window);
    if (sums != sums_.end()) {
        totals.counts = sums->second;
    }
    addUnclosed(window, window, totals.unclosed);
    addUnclosed(window - ONE_WINDOW, window, totals.unclosed);
    std::ranges::sort(totals.unclosed);
    const auto repeated = std::ranges::unique(totals.unclosed);
    totals.unclosed.erase(repeated.begin(), repeated.end());
    return totals;
}

void UsageLedger::addUnclosed(UsageWindow seenIn, UsageWindow window, std::vector<ProcessId> &unclosed) const
{
    const auto own = own_.find(window);
    if (own_.contains(seenIn) && (own == own_.end() || !own->second.counts.isClosed())) {
        unclosed.push_back(self_);
    }
    const auto seen = others_.find(seenIn);
    if (seen == others_.end()) {
        return;
    }
    const auto others = others_.find(window);
    for (const auto &[process, counts] : seen->second) {
        const bool isKnown = others != others_.end() && others->second.contains(process);
        if (!isKnown || !others->second.at(process).isClosed()) {
            unclosed.push_back(process);
        }
    }
}

void UsageLedger::recordWritten(UsageWindow window)
{
    lastWritten_ = lastWritten_ ? std::max(*lastWritten_, window) : window;
}

std::optional<UsageWindow> UsageLedger::lastWritten() const
{
    return lastWritten_;
}

const ProcessId &UsageLedger::self() const
{
    return self_;
}

std::optional<UsageWindow> UsageLedger::current() const
{
    return current_;
}

std::uint64_t UsageLedger::ignoredNotices() const
{
    return ignored_;
}

} // namespace mimosatally
