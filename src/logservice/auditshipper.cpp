#include <mimosatally/LogService>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally
{

using boost::asio::awaitable;

namespace
{
const std::string AUDIT_STREAM = "audit";
/// \brief Pause between tries during the final flush.
constexpr Duration FLUSH_RETRY_PAUSE(200);
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
        co_await sleep(nextPause());
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

awaitable<bool> AuditShipper::flush(Duration limit)
{
    const Time end = MilliClock::now() + limit;
    while (chain_.bufferedBytes() > Bytes(0)) {
        const Duration left = end - MilliClock::now();
        if (left <= Duration(0)) {
            co_return false;
        }
        if (!co_await shipBatch(std::min(left, options_.appendTimeout))) {
            co_await sleep(std::min(left, FLUSH_RETRY_PAUSE));
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
    // After the first batch only full ones follow, so that the log gets one append a period in normal operation.
    bool more = true;
    while (more && !stopping_) {
        more = co_await shipBatch(options_.appendTimeout) && chain_.bufferedBytes() >= options_.batchSize;
    }
}

awaitable<void> AuditShipper::sleep(Duration length)
{
    timer_.expires_after(length);
    boost::system::error_code ignored;
    co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

Duration AuditShipper::nextPause()
{
    if (backoff_ == Duration(0)) {
        return options_.period;
    }
    std::uniform_int_distribution<Duration::rep> pause(backoff_.count() / 4, backoff_.count());
    return Duration(pause(random_));
}

} // namespace mimosatally
