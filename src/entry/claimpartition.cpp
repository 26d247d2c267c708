#include "claimpartition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Claims that arrive within this time share one append, because the log takes only several hundred appends per second in total.
constexpr Duration BATCH_DELAY = Duration(5);
constexpr Duration LOG_TIMEOUT = Duration(2000);
/// \brief Interval between reads while a call waits for a record or a void is pending.
constexpr Duration BUSY_POLL_INTERVAL = Duration(25);
constexpr Duration IDLE_POLL_INTERVAL = Duration(1000);
/// \brief A log that does not answer a read within this time is treated as down, so that calls are refused immediately.
constexpr Duration SLOW_READ_THRESHOLD = Duration(500);
constexpr int MAX_RECORDS_PER_READ = 500;
/// \brief An append whose response was lost cannot reach the log after this time: its connection was closed long before.
constexpr Duration MAX_VOID_WAIT = Duration(600000);
} // namespace

ClaimPartition::Batch::Batch(boost::asio::io_context &io)
    : done(io)
{
}

ClaimPartition::ClaimPartition(boost::asio::io_context &io, LogClient &log, int number)
    : io_(io)
    , log_(log)
    , stream_("claims-" + std::to_string(number))
    , changed_(io)
{
}

awaitable<void> ClaimPartition::run(TaskContext &context)
{
    context_ = &context;
    // g++ 12 miscompiles some coroutines with co_await in a loop condition.
    bool running = true;
    while (running) {
        bool hasMore = false;
        bool reachable = true;
        try {
            hasMore = co_await readOnce();
        } catch (const UnreachableError &error) {
            reachable = false;
            if (std::exchange(ready_, false)) {
                logEvent(LogEvent::ClaimsUnavailable, {{"stream", stream_}, {"error", error.what()}});
            }
        }
        if (reachable && !hasMore) {
            ready_ = true;
            co_await appendVoids();
        }
        if (hasMore) {
            context.wake();
        }
        changed_.notify();
        running = co_await context.sleep(pollInterval());
    }
    context_ = nullptr;
}

/// \return true if there may be more records to read.
awaitable<bool> ClaimPartition::readOnce()
{
    readStarted_ = MilliClock::now();
    const LogReadResult result = co_await log_.read(stream_, table_.nextOffset(), MAX_RECORDS_PER_READ, LOG_TIMEOUT);
    if (result.hasGap && !result.records.empty()) {
        table_.pruneBefore(result.records.front().offset);
    }
    for (const LogRecord &record : result.records) {
        table_.apply(record.offset, record.payload);
    }
    readStarted_.reset();
    co_return result.records.size() >= MAX_RECORDS_PER_READ;
}

Duration ClaimPartition::pollInterval() const
{
    return changed_.hasWaiters() || !pendingVoids_.empty() ? BUSY_POLL_INTERVAL : IDLE_POLL_INTERVAL;
}

bool ClaimPartition::isReady() const
{
    const bool isSlow = readStarted_ && MilliClock::now() - *readStarted_ > SLOW_READ_THRESHOLD;
    return ready_ && !isSlow;
}

const ClaimTable &ClaimPartition::table() const
{
    return table_;
}

awaitable<AppendResult> ClaimPartition::append(std::string payload)
{
    if (!batch_) {
        batch_ = std::make_shared<Batch>(io_);
        boost::asio::co_spawn(io_, flush(batch_), boost::asio::detached);
    }
    const std::shared_ptr<Batch> batch = batch_;
    batch->payloads.push_back(std::move(payload));
    while (!batch->isDone) {
        co_await batch->done.wait(MilliClock::now() + LOG_TIMEOUT);
    }
    co_return batch->result;
}

awaitable<void> ClaimPartition::flush(std::shared_ptr<Batch> batch)
{
    Signal timer(io_);
    co_await timer.wait(MilliClock::now() + BATCH_DELAY);
    batch_.reset();
    try {
        co_await log_.append(stream_, batch->payloads, LOG_TIMEOUT);
        batch->result = AppendResult::Appended;
    } catch (const ConnectError &) {
        batch->result = AppendResult::NotAppended;
    } catch (const std::exception &) {
        batch->result = AppendResult::Unknown;
    }
    batch->isDone = true;
    batch->done.notify();
    if (context_ != nullptr) {
        context_->wake();
    }
}

awaitable<bool> ClaimPartition::awaitVerdict(RecordId id, Time until)
{
    while (table_.verdict(id) == ClaimVerdict::Pending && MilliClock::now() < until) {
        co_await changed_.wait(until);
    }
    co_return table_.verdict(id) != ClaimVerdict::Pending;
}

awaitable<void> ClaimPartition::awaitOutcome(ClaimKey key, Offset claim, Time until)
{
    while (MilliClock::now() < until) {
        const std::optional<ClaimState> state = table_.find(key);
        if (!state || state->offset != claim || state->outcome) {
            co_return;
        }
        if (context_ != nullptr && !changed_.hasWaiters()) {
            context_->wake();
        }
        co_await changed_.wait(until);
    }
}

void ClaimPartition::scheduleVoid(ClaimKey key, RecordId id)
{
    VoidRecord record;
    // Repeated appends carry the same id, so that readers see a single void.
    record.id = RecordId(newUniqueId());
    record.key = std::move(key);
    pendingVoids_.push_back({std::move(id), std::move(record), MilliClock::now()});
    if (context_ != nullptr) {
        context_->wake();
    }
}

awaitable<void> ClaimPartition::appendVoids()
{
    const Time now = MilliClock::now();
    std::erase_if(pendingVoids_, [this, now](const PendingVoid &item) {
        const ClaimVerdict verdict = table_.verdict(item.claim);
        const bool isResolved = verdict != ClaimVerdict::Pending && verdict != ClaimVerdict::Won;
        return isResolved || (verdict == ClaimVerdict::Pending && now - item.requestedAt > MAX_VOID_WAIT);
    });
    std::vector<std::string> payloads;
    for (PendingVoid &item : pendingVoids_) {
        const std::optional<Offset> claim = table_.offsetOf(item.claim);
        if (claim) {
            item.record.claim = *claim;
            payloads.push_back(toJson(item.record));
        }
    }
    if (payloads.empty()) {
        co_return;
    }
    try {
        co_await log_.append(stream_, std::move(payloads), LOG_TIMEOUT);
    } catch (const UnreachableError &) {
        // The voids stay pending until they are read back.
        co_return;
    }
}

bool ClaimPartition::hasPendingVoids() const
{
    return !pendingVoids_.empty();
}

} // namespace mimosatally::internal
