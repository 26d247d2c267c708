#include "snapshotplan.h"

#include <mimosatally/LogService>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>

namespace mimosatally
{

using boost::asio::awaitable;

namespace
{
constexpr const char *STREAM = "configuration";
constexpr int MAX_RECORDS_PER_READ = 500;
constexpr int READ_LIMIT_DIVISOR = 8;
constexpr int MAX_DOUBLINGS = 10;
} // namespace

class ConfigurationFollower::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint logService, std::vector<Operator> bootstrapOperators, Options followerOptions)
        : options(followerOptions)
        , replica(std::move(bootstrapOperators))
        , random_(followerOptions.seed)
        , timer_(io)
        , client_(io, std::move(logService))
        , snapshotPlan_(followerOptions.snapshotEvery, followerOptions.snapshotAge, followerOptions.snapshotJitter, MilliClock::now(), random_)
    {
    }

    awaitable<void> run()
    {
        const std::shared_ptr<Impl> self = shared_from_this();
        while (running) {
            Duration delay = options.pollInterval;
            try {
                co_await poll();
                failures_ = 0;
            } catch (const UnreachableError &error) {
                // A response above the client's size limit fails as well, so the next read requests fewer records.
                readLimit_ = std::max(1, readLimit_ / READ_LIMIT_DIVISOR);
                delay = nextBackoff();
                logEvent(LogEvent::ConfigurationReadFailed, {{"error", error.what()}, {"retry_after", delay}});
            }
            logConfirmationChange(MilliClock::now());
            if (running) {
                boost::system::error_code ignored;
                timer_.expires_after(delay);
                co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            }
        }
    }

    [[nodiscard]] boost::asio::any_io_executor executor()
    {
        return timer_.get_executor();
    }

    void cancel()
    {
        running = false;
        timer_.cancel();
    }

    void handleApplied(const std::vector<AppliedRecord> &applied, const char *source)
    {
        for (const AppliedRecord &record : applied) {
            if (record.result.verdict == ApplyResult::Verdict::Void) {
                logEvent(LogEvent::ConfigurationRecordVoid, {{"offset", record.offset}, {"reason", record.result.reason}});
            }
        }
        if (replica.state().version == announcedVersion_) {
            return;
        }
        invariant(announcedVersion_ < replica.state().version, "a process never returns to an earlier configuration version");
        announcedVersion_ = replica.state().version;
        logEvent(LogEvent::ConfigurationAccepted, {{"configuration", announcedVersion_}, {"source", source}});
        // A handler may add further handlers.
        for (std::size_t i = 0; i < handlers.size(); ++i) {
            const ChangeHandler handler = handlers[i];
            handler(replica.state());
        }
    }

    [[nodiscard]] bool isConfirmed(Time now, Duration maxAge) const
    {
        const std::optional<Time> confirmedAt = replica.confirmedAt();
        return confirmedAt && now - *confirmedAt <= maxAge;
    }

    const Options options;
    ConfigurationReplica replica;
    std::vector<ChangeHandler> handlers;
    bool running = false;
    Time startedAt = MilliClock::now();

private:
    awaitable<void> poll()
    {
        if (options.mode == Mode::ReadWhenUnconfirmed && isConfirmed(MilliClock::now(), options.peerTimeout)) {
            co_return;
        }
        bool reachedEnd = false;
        while (running && !reachedEnd) {
            reachedEnd = co_await readOnce();
        }
        if (replica.isMissingRecords()) {
            logEvent(LogEvent::ConfigurationRecordsMissing, {{"next_offset", replica.nextReadOffset()}});
            throw UnreachableError("the log no longer has the records from offset " + std::to_string(replica.nextReadOffset().count()) + " on");
        }
        if (running && options.mode == Mode::ReadAlways && options.snapshotEvery > 0) {
            co_await writeSnapshotIfDue();
        }
    }

    /// \return true if the read reached the end of the stream.
    awaitable<bool> readOnce()
    {
        const Offset requestedOffset = replica.nextReadOffset();
        const Time sentAt = MilliClock::now();
        LogReadResult result = co_await client_.read(STREAM, requestedOffset, readLimit_, options.requestTimeout);
        readLimit_ = std::min(MAX_RECORDS_PER_READ, readLimit_ * 2);
        // The service may return fewer records than requested, so only an empty answer marks the end.
        const bool reachedEnd = result.records.empty();
        std::vector<ConfigurationRecord> records;
        records.reserve(result.records.size());
        for (LogRecord &record : result.records) {
            records.push_back({record.offset, std::move(record.payload)});
        }
        handleApplied(replica.applyFromLog(requestedOffset, records, reachedEnd, sentAt), "log");
        co_return reachedEnd;
    }

    awaitable<void> writeSnapshotIfDue()
    {
        const Time now = MilliClock::now();
        if (replica.state().version < ConfigurationVersion(0)
            || !snapshotPlan_.isDue(replica.log().nextOffset(), replica.snapshotCoveredOffset(), now, random_)) {
            co_return;
        }
        const Offset coveredOffset = replica.log().nextOffset() - Offset(1);
        std::vector<std::string> payloads = {replica.log().snapshot(RecordId(newUniqueId()))};
        const std::vector<Offset> offsets = co_await client_.append(STREAM, std::move(payloads), options.requestTimeout);
        logEvent(LogEvent::SnapshotWritten, {{"offset", offsets.front()}, {"covers", coveredOffset}});
    }

    Duration nextBackoff()
    {
        const Duration maxDelay = std::min(options.maxBackoff, options.pollInterval * (1 << std::min(failures_, MAX_DOUBLINGS)));
        ++failures_;
        return Duration(std::uniform_int_distribution<std::int64_t>(maxDelay.count() / 2, maxDelay.count())(random_));
    }

    void logConfirmationChange(Time now)
    {
        const bool confirmed = isConfirmed(now, options.maxConfirmationAge);
        if (confirmed != wasConfirmed_ && announcedVersion_ >= ConfigurationVersion(0)) {
            logEvent(confirmed ? LogEvent::ConfigurationConfirmed : LogEvent::ConfigurationUnconfirmed, {{"configuration", announcedVersion_}});
        }
        wasConfirmed_ = confirmed;
    }

    std::mt19937_64 random_;
    boost::asio::steady_timer timer_;
    LogClient client_;
    SnapshotPlan snapshotPlan_;
    ConfigurationVersion announcedVersion_ = ConfigurationVersion(-1);
    int readLimit_ = MAX_RECORDS_PER_READ;
    int failures_ = 0;
    bool wasConfirmed_ = true;
};

ConfigurationFollower::ConfigurationFollower(boost::asio::io_context &io,
                                             boost::asio::ip::tcp::endpoint logService,
                                             std::vector<Operator> bootstrapOperators,
                                             Options options)
    : impl_(std::make_shared<Impl>(io, std::move(logService), std::move(bootstrapOperators), options))
{
}

ConfigurationFollower::~ConfigurationFollower()
{
    impl_->handlers.clear();
    impl_->cancel();
}

void ConfigurationFollower::start()
{
    if (impl_->running) {
        return;
    }
    impl_->running = true;
    impl_->startedAt = MilliClock::now();
    boost::asio::co_spawn(impl_->executor(), impl_->run(), [](std::exception_ptr error) {
        // A violated invariant or a failed handler must end the process through io_context::run().
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

void ConfigurationFollower::stop()
{
    impl_->cancel();
}

const ConfigurationState &ConfigurationFollower::state() const
{
    return impl_->replica.state();
}

void ConfigurationFollower::onChange(ChangeHandler handler)
{
    impl_->handlers.push_back(std::move(handler));
}

void ConfigurationFollower::applyFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion)
{
    impl_->handleApplied(impl_->replica.applyFromPeer(records, peerVersion, MilliClock::now()), "peer");
}

std::vector<ConfigurationRecord> ConfigurationFollower::recordsFor(ConfigurationVersion peerVersion) const
{
    return impl_->replica.recordsFor(peerVersion, MilliClock::now());
}

bool ConfigurationFollower::isConfirmed(Time now) const
{
    return impl_->isConfirmed(now, impl_->options.maxConfirmationAge);
}

std::optional<Time> ConfigurationFollower::unconfirmedSince(Time now) const
{
    if (isConfirmed(now)) {
        return std::nullopt;
    }
    return impl_->replica.confirmedAt().value_or(impl_->startedAt);
}

} // namespace mimosatally
