#include "claimpartition.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Claims of this time share one append, because the log takes only several hundred appends a second in total.
constexpr Duration GROUP_TIME = Duration(5);
constexpr Duration LOG_TIMEOUT = Duration(2000);
/// \brief Pause between reads while a call waits for a record.
constexpr Duration PAUSE_WITH_WAITERS = Duration(25);
constexpr Duration PAUSE_WITHOUT_WAITERS = Duration(1000);
/// \brief A log that does not answer a read for so long is treated as down, so that calls are refused at once.
constexpr Duration SLOW_READ = Duration(500);
constexpr int READ_LIMIT = 500;
/// \brief An append whose answer was lost does not reach the log after this time: its connection has long been closed.
constexpr Duration LONGEST_VOID_WAIT = Duration(600000);
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
    // g++ 12 miscompiles some coroutines that await in a loop condition.
    bool goesOn = true;
    while (goesOn) {
        bool more = false;
        bool reachable = true;
        try {
            more = co_await readOnce();
        } catch (const UnreachableError &error) {
            reachable = false;
            if (std::exchange(ready_, false)) {
                logEvent(LogEvent::ClaimsUnavailable, {{"stream", stream_}, {"error", error.what()}});
            }
        }
        if (reachable && !more) {
            ready_ = true;
            co_await appendVoids();
        }
        if (more) {
            context.wake();
        }
        changed_.notify();
        goesOn = co_await context.sleep(pause());
    }
    context_ = nullptr;
}

/// \return whether there may be more records to read.
awaitable<bool> ClaimPartition::readOnce()
{
    readStarted_ = MilliClock::now();
    const LogReadResult result = co_await log_.read(stream_, table_.nextOffset(), READ_LIMIT, LOG_TIMEOUT);
    if (result.hasGap && !result.records.empty()) {
        table_.pruneBefore(result.records.front().offset);
    }
    for (const LogRecord &record : result.records) {
        table_.apply(record.offset, record.payload);
    }
    readStarted_.reset();
    co_return result.records.size() >= READ_LIMIT;
}

Duration ClaimPartition::pause() const
{
    return changed_.hasWaiters() || !voids_.empty() ? PAUSE_WITH_WAITERS : PAUSE_WITHOUT_WAITERS;
}

bool ClaimPartition::isReady() const
{
    const bool isSlow = readStarted_ && MilliClock::now() - *readStarted_ > SLOW_READ;
    return ready_ && !isSlow;
}

const ClaimTable &ClaimPartition::table() const
{
    return table_;
}

awaitable<AppendEnd> ClaimPartition::append(std::string payload)
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
    co_return batch->end;
}

awaitable<void> ClaimPartition::flush(std::shared_ptr<Batch> batch)
{
    Signal never(io_);
    co_await never.wait(MilliClock::now() + GROUP_TIME);
    batch_.reset();
    try {
        co_await log_.append(stream_, batch->payloads, LOG_TIMEOUT);
        batch->end = AppendEnd::Appended;
    } catch (const ConnectError &) {
        batch->end = AppendEnd::NotAppended;
    } catch (const std::exception &) {
        batch->end = AppendEnd::Unknown;
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

void ClaimPartition::voidLater(ClaimKey key, RecordId id)
{
    VoidRecord record;
    // The id stays the same when the append is repeated, so that readers see one void.
    record.id = RecordId(newUniqueId());
    record.key = std::move(key);
    voids_.push_back({std::move(id), std::move(record), MilliClock::now()});
    if (context_ != nullptr) {
        context_->wake();
    }
}

awaitable<void> ClaimPartition::appendVoids()
{
    const Time now = MilliClock::now();
    std::erase_if(voids_, [this, now](const PendingVoid &item) {
        const ClaimVerdict verdict = table_.verdict(item.claim);
        const bool settled = verdict != ClaimVerdict::Pending && verdict != ClaimVerdict::Won;
        return settled || (verdict == ClaimVerdict::Pending && now - item.since > LONGEST_VOID_WAIT);
    });
    std::vector<std::string> payloads;
    for (PendingVoid &item : voids_) {
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
    return !voids_.empty();
}

} // namespace mimosatally::internal
