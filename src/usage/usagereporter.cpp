#include <mimosatally/Usage>

#include <algorithm>

namespace mimosatally
{

namespace
{
/// \brief Longest time after the end of a window for which the counts of silent processes are awaited; the rest of the time until the report is due is left for
/// a change of the holder.
constexpr std::int64_t MAX_COUNT_WAIT_MS = 5000;
/// \brief Time after a report is due until it is given up.
constexpr std::int64_t GIVE_UP_AFTER_DUE_MS = 30'000;
constexpr Duration FIRST_PAUSE = Duration(100);
constexpr Duration MAX_PAUSE = Duration(2000);
/// \brief Greatest time between the last action under a lease and the first sight of a new era within which no other process can have acted: a new holder
/// waits for a lease, which exceeds the validity of the last renewal by more than this.
constexpr Duration MAX_ERA_GAP = Duration(400);

/// \brief Difference that is assumed between the clocks of two holders, which both follow the median of the fleet.
constexpr std::int64_t MAX_CLOCK_DIFFERENCE_MS = 500;

/// \brief Pause before the next attempt: doubled with each failure, and half of it random so that retries of several processes spread.
Duration pauseAfter(int failures, double jitter)
{
    constexpr int maxDoublings = 5;
    const Duration pause = std::min(FIRST_PAUSE * (1 << std::min(failures - 1, maxDoublings)), MAX_PAUSE);
    return pause / 2 + Duration(static_cast<Duration::rep>(static_cast<double>(pause.count()) / 2 * jitter));
}

std::int64_t unixAt(Time time, const UsageView &view)
{
    return view.unixMs - (view.now - time).count();
}

const UsageWindow ONE_WINDOW = UsageWindow(1);
} // namespace

UsageReporter::UsageReporter(Options options)
    : options_(options)
{
}

void UsageReporter::acquire(const UsageTenure &tenure)
{
    const bool sameToken = hadTenure_ && tenure_.token == tenure.token;
    if (!hadTenure_ || tenure_.era != tenure.era) {
        heldAtEraStart_ = lastReporting_ && tenure.eraSince - *lastReporting_ <= MAX_ERA_GAP;
    }
    active_ = true;
    tenure_ = tenure;
    hadTenure_ = true;
    storeFailures_ = 0;
    sendFailures_ = 0;
    if (!sameToken) {
        stage_ = Stage::Claim;
        sequence_ = 0;
        pending_.reset();
        unanswered_ = false;
        stored_.clear();
    }
}

void UsageReporter::lose()
{
    active_ = false;
}

std::optional<std::int64_t> UsageReporter::token() const
{
    return active_ ? std::optional(tenure_.token) : std::nullopt;
}

UsageAction UsageReporter::next(const UsageView &view)
{
    if (!active_) {
        return UsageWait();
    }
    if (stage_ == Stage::Report) {
        lastReporting_ = view.now;
        return nextReportAction(view);
    }
    if (view.now < storeNotBefore_) {
        return UsageWait();
    }
    if (stage_ == Stage::Claim) {
        return UsageEpochClaim {sequence_};
    }
    return UsageRead();
}

UsageAction UsageReporter::nextReportAction(const UsageView &view)
{
    giveUpOverdue(view);
    if (view.now >= storeNotBefore_) {
        prepareWrite(view);
        if (pending_) {
            return *pending_;
        }
    }
    const UsageReport *report = nextToSend();
    if (report != nullptr && view.now >= sendNotBefore_) {
        return UsageSend {*report};
    }
    return UsageWait();
}

void UsageReporter::recordAppended()
{
    ++sequence_;
    unanswered_ = false;
    storeFailures_ = 0;
    if (stage_ == Stage::Claim) {
        stage_ = Stage::Read;
        return;
    }
    if (pending_) {
        merge(pending_->record);
        pending_.reset();
    }
}

bool UsageReporter::recordOutOfSequence(std::optional<std::int64_t> expected)
{
    // The lost attempt has the number that the store may come to expect, and would then take effect in place of another append.
    const bool mayTakeEffect = unanswered_ && (!expected || *expected <= sequence_);
    if (!expected || mayTakeEffect) {
        return false;
    }
    sequence_ = *expected;
    unanswered_ = false;
    pending_.reset();
    stage_ = Stage::Read;
    return true;
}

void UsageReporter::recordStoreFailure(Time now, double jitter)
{
    unanswered_ = unanswered_ || stage_ != Stage::Read;
    ++storeFailures_;
    storeNotBefore_ = now + pauseAfter(storeFailures_, jitter);
}

void UsageReporter::recordRead(const std::optional<UsageRecord> &record, const UsageView &view)
{
    storeFailures_ = 0;
    stage_ = Stage::Report;
    stored_.clear();
    if (record && record->era == tenure_.era) {
        merge(*record);
    } else if (record) {
        mergeEarlierEra(*record);
    }
    std::optional<UsageWindow> last = view.lastWritten;
    if (!written_.empty()) {
        last = std::max(last.value_or(written_.rbegin()->first), written_.rbegin()->first);
    }
    if (last) {
        next_ = std::max(next_, *last + ONE_WINDOW);
    } else if (!record) {
        next_ = std::max(next_, windowAt(unixAt(tenure_.acquired, view)));
    }
    const UsageWindow firstUnwritten = windowAt(unixAt(tenure_.eraSince, view) + MAX_CLOCK_DIFFERENCE_MS);
    if (!knowsAllWritten(record) && next_ < firstUnwritten) {
        missed_.push_back({next_, (firstUnwritten - next_).count(), true});
        next_ = firstUnwritten;
    }
}

bool UsageReporter::knowsAllWritten(const std::optional<UsageRecord> &record) const
{
    // What is written in an era stays until the next one.
    const bool fromThisEra = record ? record->era == tenure_.era : tenure_.era == StoreEra();
    return fromThisEra || heldAtEraStart_;
}

void UsageReporter::merge(const UsageRecord &record)
{
    for (const UsageReport &report : record.reports) {
        const auto [known, isNew] = written_.try_emplace(report.window, report);
        if (known->second == report) {
            stored_.insert(report.window);
        } else {
            // Different counts of one window must never both be sent.
            settle(report.window);
        }
    }
    next_ = std::max(next_, record.next);
    if (record.settled) {
        settle(*record.settled);
    }
    while (written_.size() > UsageRecord::MAX_REPORTS) {
        stored_.erase(written_.begin()->first);
        written_.erase(written_.begin());
    }
}

void UsageReporter::mergeEarlierEra(const UsageRecord &record)
{
    // The restored store has forgotten the epochs after its copy, so the record can be a late append that it had rejected before. Its counts are then not those
    // that were sent, and a report that only it has is not sent.
    for (const UsageReport &report : record.reports) {
        const auto known = written_.find(report.window);
        if (known != written_.end() && known->second == report) {
            stored_.insert(report.window);
        }
    }
    next_ = std::max(next_, record.next);
}

void UsageReporter::recordAccepted(UsageWindow window)
{
    sendFailures_ = 0;
    lastAccepted_ = window;
    settle(window);
}

void UsageReporter::recordSendFailure(Time now, double jitter)
{
    ++sendFailures_;
    sendNotBefore_ = now + pauseAfter(sendFailures_, jitter);
}

void UsageReporter::settle(UsageWindow window)
{
    settled_ = std::max(settled_.value_or(window), window);
}

bool UsageReporter::isSettled(UsageWindow window) const
{
    return settled_ && window <= *settled_;
}

void UsageReporter::giveUpOverdue(const UsageView &view)
{
    const UsageWindow limit = firstNotOverdue(view);
    for (const auto &[window, report] : written_) {
        if (window < limit && !isSettled(window)) {
            missed_.push_back({window, 1, false});
            settle(window);
        }
    }
    if (next_ < limit) {
        missed_.push_back({next_, (limit - next_).count(), false});
        next_ = limit;
        settle(limit - ONE_WINDOW);
    }
}

bool UsageReporter::isReady(UsageWindow window, const WindowTotals &totals, const UsageView &view) const
{
    const std::int64_t sinceEnd = view.unixMs - endOf(window);
    const std::int64_t maxWait = std::min<std::int64_t>(MAX_COUNT_WAIT_MS, options_.due.count() / 2);
    return sinceEnd >= 0 && (totals.unclosed.empty() || sinceEnd >= maxWait);
}

void UsageReporter::prepareWrite(const UsageView &view)
{
    if (pending_) {
        return;
    }
    UsageWrite write;
    std::vector<UsageReport> added;
    std::size_t unsettled = 0;
    bool needed = false;
    for (const auto &[window, report] : written_) {
        unsettled += isSettled(window) ? 0 : 1;
        needed = needed || (!isSettled(window) && !stored_.contains(window));
    }
    for (UsageWindow window = next_; unsettled < UsageRecord::MAX_REPORTS && endOf(window) <= view.unixMs; window += ONE_WINDOW) {
        WindowTotals totals = view.totals(window);
        if (!isReady(window, totals, view)) {
            break;
        }
        added.push_back({window, std::move(totals.counts)});
        write.unclosed.emplace(window, std::move(totals.unclosed));
        ++unsettled;
        needed = true;
    }
    if (!needed) {
        return;
    }
    for (const auto &[window, report] : written_) {
        write.record.reports.push_back(report);
    }
    std::ranges::move(added, std::back_inserter(write.record.reports));
    const std::size_t surplus = write.record.reports.size() - std::min(write.record.reports.size(), UsageRecord::MAX_REPORTS);
    write.record.reports.erase(write.record.reports.begin(), write.record.reports.begin() + static_cast<std::ptrdiff_t>(surplus));
    write.record.era = tenure_.era;
    write.record.next = std::max(next_, write.record.reports.back().window + ONE_WINDOW);
    write.record.settled = settled_;
    write.sequence = sequence_;
    pending_ = std::move(write);
}

const UsageReport *UsageReporter::nextToSend() const
{
    const auto found = std::ranges::find_if(written_, [this](const auto &entry) {
        return !isSettled(entry.first);
    });
    return found != written_.end() && stored_.contains(found->first) ? &found->second : nullptr;
}

std::vector<UsageGap> UsageReporter::takeMissed()
{
    return std::exchange(missed_, {});
}

std::optional<UsageWindow> UsageReporter::lastWritten() const
{
    return written_.empty() ? std::nullopt : std::optional(written_.rbegin()->first);
}

std::optional<UsageWindow> UsageReporter::lastAccepted() const
{
    return lastAccepted_;
}

std::int64_t UsageReporter::endOf(UsageWindow window) const
{
    return (window.count() + 1) * options_.window.count();
}

UsageWindow UsageReporter::windowAt(std::int64_t unixMs) const
{
    return UsageWindow(unixMs / options_.window.count());
}

UsageWindow UsageReporter::firstNotOverdue(const UsageView &view) const
{
    return windowAt(view.unixMs - options_.due.count() - GIVE_UP_AFTER_DUE_MS);
}

} // namespace mimosatally
