#include <mimosatally/LogService>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally
{

using boost::asio::awaitable;

namespace
{
const std::string AUDIT_STREAM = "audit";
/// \brief Time between attempts during the final flush.
constexpr Duration FLUSH_RETRY_INTERVAL(200);
} // namespace

AuditShipper::AuditShipper(boost::asio::io_context &io, DecisionChain &chain, LogClient &log, std::uint64_t seed, Options options)
    : chain_(chain)
    , log_(log)
    , options_(options)
    , random_(seed)
    , timer_(io)
{
}

AuditShipper::AuditShipper(boost::asio::io_context &io, DecisionChain &chain, LogClient &log, std::uint64_t seed)
    : AuditShipper(io, chain, log, seed, Options())
{
}

awaitable<void> AuditShipper::run()
{
    while (!stopping_) {
        co_await sleep(nextDelay());
        if (!stopping_) {
            co_await shipAll();
        }
    }
}

void AuditShipper::stop()
{
    stopping_ = true;
    timer_.cancel();
}

void AuditShipper::recordAppend()
{
    if (backoff_ == Duration(0) && chain_.bufferedBytes() >= options_.batchSize) {
        timer_.cancel();
    }
}

awaitable<bool> AuditShipper::flush(Duration timeout)
{
    const Time deadline = MilliClock::now() + timeout;
    while (chain_.bufferedBytes() > Bytes(0)) {
        const Duration remaining = deadline - MilliClock::now();
        if (remaining <= Duration(0)) {
            co_return false;
        }
        if (!co_await shipBatch(std::min(remaining, options_.appendTimeout))) {
            co_await sleep(std::min(remaining, FLUSH_RETRY_INTERVAL));
        }
    }
    co_return true;
}

std::uint64_t AuditShipper::failures() const
{
    return failures_;
}

awaitable<bool> AuditShipper::shipBatch(Duration timeout)
{
    const auto batch = chain_.nextBatch(options_.batchSize);
    if (!batch) {
        co_return true;
    }
    bool shipped = false;
    try {
        const std::vector<std::string> payloads(1, *batch);
        co_await log_.append(AUDIT_STREAM, payloads, timeout);
        shipped = true;
    } catch (const Error &) {
        ++failures_;
    }
    if (shipped) {
        chain_.confirmBatch();
        backoff_ = Duration(0);
    } else {
        chain_.retryBatch();
        backoff_ = std::min(options_.maxBackoff, std::max(options_.period, backoff_ * 2));
    }
    co_return shipped;
}

awaitable<void> AuditShipper::shipAll()
{
    // After the first batch only full batches are shipped, so that the log gets one append per period in normal operation.
    bool hasMore = true;
    while (hasMore && !stopping_) {
        hasMore = co_await shipBatch(options_.appendTimeout) && chain_.bufferedBytes() >= options_.batchSize;
    }
}

awaitable<void> AuditShipper::sleep(Duration duration)
{
    timer_.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

Duration AuditShipper::nextDelay()
{
    if (backoff_ == Duration(0)) {
        return options_.period;
    }
    std::uniform_int_distribution<Duration::rep> distribution(backoff_.count() / 4, backoff_.count());
    return Duration(distribution(random_));
}

} // namespace mimosatally
