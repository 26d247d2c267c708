#include "outcomeappender.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr Duration RETRY_TIMEOUT(2000);
constexpr Duration RETRY_INTERVAL(500);
/// \brief Size limit of pending records, above which the oldest are dropped; at a few hundred bytes each, several thousand outcomes.
constexpr std::size_t MAX_PENDING_BYTES = std::size_t(4) * 1024 * 1024;

/// \brief JSON text of the record, without the body if that is not valid UTF-8.
std::string outcomeText(OutcomeRecord record)
{
    try {
        return toJson(record);
    } catch (const nlohmann::json::exception &) {
        record.body.clear();
        return toJson(record);
    }
}
} // namespace

OutcomeAppender::OutcomeAppender(boost::asio::io_context &io, LogClient &log, std::uint64_t seed)
    : io_(io)
    , log_(log)
    , random_(seed)
{
}

awaitable<bool> OutcomeAppender::append(int partition, OutcomeRecord record, Duration timeout)
{
    Pending pending;
    pending.stream = "claims-" + std::to_string(partition);
    pending.payload = outcomeText(std::move(record));
    const bool appended = co_await tryAppend(pending, timeout);
    if (!appended) {
        addPending(std::move(pending));
    }
    co_return appended;
}

awaitable<bool> OutcomeAppender::tryAppend(const Pending &record, Duration timeout)
{
    bool appended = false;
    try {
        std::vector<std::string> payloads(1, record.payload);
        co_await log_.append(record.stream, std::move(payloads), timeout);
        appended = true;
    } catch (const Error &error) {
        logEvent(LogEvent::OutcomeAppendFailed, {{"error", error.what()}, {"pending", pending_.size()}});
    }
    co_return appended;
}

void OutcomeAppender::addPending(Pending record)
{
    pendingBytes_ += record.payload.size();
    pending_.push_back(std::move(record));
    while (pendingBytes_ > MAX_PENDING_BYTES) {
        logEvent(LogEvent::OutcomeDropped, {{"stream", pending_.front().stream}});
        pendingBytes_ -= pending_.front().payload.size();
        pending_.pop_front();
    }
}

awaitable<void> OutcomeAppender::run(TaskContext &context)
{
    std::uniform_int_distribution<Duration::rep> jitter(0, RETRY_INTERVAL.count());
    // g++ 12 generates a trap for some coroutines with co_await in the condition of a while loop.
    bool running = co_await context.sleep(RETRY_INTERVAL);
    while (running) {
        bool appended = true;
        while (appended && !pending_.empty() && !context.isStopping()) {
            appended = co_await retryFirst();
        }
        running = co_await context.sleep(RETRY_INTERVAL + Duration(jitter(random_)));
    }
}

awaitable<bool> OutcomeAppender::retryFirst()
{
    Pending record = pending_.front();
    pending_.pop_front();
    pendingBytes_ -= record.payload.size();
    const bool appended = co_await tryAppend(record, RETRY_TIMEOUT);
    if (!appended) {
        addPending(std::move(record));
    }
    co_return appended;
}

awaitable<std::size_t> OutcomeAppender::flush(Duration timeout)
{
    const Time deadline = MilliClock::now() + timeout;
    while (!pending_.empty() && MilliClock::now() < deadline) {
        if (!co_await retryFirst()) {
            boost::asio::steady_timer timer(io_, RETRY_INTERVAL);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
    }
    co_return pending_.size();
}

std::size_t OutcomeAppender::pending() const
{
    return pending_.size();
}

} // namespace mimosatally::internal
