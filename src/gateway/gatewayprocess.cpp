#include "callhandler.h"
#include "loopwatch.h"
#include "ordercontroller.h"
#include "settingsreload.h"
#include "storefollower.h"
#include "workexchange.h"

#include <mimosatally/Gateway>
#include <mimosatally/Http>
#include <mimosatally/Supervision>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>

namespace mimosatally
{

using boost::asio::awaitable;

namespace
{
using namespace internal;

constexpr int EXIT_INVARIANT_VIOLATED = 1;
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr Duration HOUSEKEEPING_INTERVAL = Duration(200);
/// \brief Pause between the log lines that state what was learned of the engines.
constexpr Duration ENGINE_TIMES_INTERVAL = Duration(5000);
/// \brief What a killed process wrote last is covered by no checkpoint; each of them is a line of 200 bytes.
constexpr Duration CHECKPOINT_INTERVAL = Duration(1000);
/// \brief After SIGTERM new connections are still accepted for this time: the load balancer needs two questions to notice.
constexpr Duration ACCEPTING_AFTER_SIGTERM = Duration(3000);
/// \brief The process exits so long before the platform would kill it.
constexpr Duration GRACE_MARGIN = Duration(500);
/// \brief Calls that could outlast the process are refused from this long before it stops accepting, when callers know other processes.
constexpr Duration LAST_LONG_CALL_MARGIN = Duration(500);
/// \brief Accepting stops so long before the end, so that what was accepted is read and answered.
constexpr Duration LAST_ACCEPTING_MARGIN = Duration(500);
constexpr Duration SHUTDOWN_POLL = Duration(50);
constexpr std::size_t MAX_PEER_MESSAGE_BYTES = std::size_t(1024) * 1024;

HttpLimits limitsOf(const GatewaySettings &settings, const CallerLimits &limits)
{
    HttpLimits result;
    result.maxHeaderBytes = limits.maxHeaderBytes;
    result.maxBodyBytes = limits.maxBodyBytes;
    result.maxConnections = settings.maxConnections;
    result.idleTimeout = limits.idleTimeout;
    return result;
}

/// \brief One gateway process from its start to its graceful shutdown.
class GatewayProcess
{
public:
    explicit GatewayProcess(const GatewaySettings &settings)
        : signals_(io_, SIGTERM, SIGINT)
        , gateway_(io_, settings)
        , handler_(gateway_)
        , follower_(gateway_, rpc_)
        , orders_(gateway_)
        , supervisor_(io_,
                      static_cast<std::uint64_t>(MilliClock::now().time_since_epoch().count()),
                      Supervisor::Options(),
                      [] {
                          flushLog();
                          std::_Exit(EXIT_INVARIANT_VIOLATED);
                      })
        , callers_(io_,
                   parseAddress(settings.listen),
                   limitsOf(settings, CallerLimits()),
                   [this](HttpExchange &exchange) {
                       return handler_.handle(exchange);
                   })
        , readiness_(io_,
                     parseAddress(settings.readiness),
                     HttpLimits(),
                     [this](HttpExchange &exchange) {
                         return answerReadiness(exchange);
                     })
        , reload_(gateway_, io_)
    {
        if (!settings.peerListen.empty()) {
            peers_.emplace(rpc_, parseAddress(settings.peerListen), kj::heap<PeerService>(follower_.newest()), MAX_PEER_MESSAGE_BYTES);
        }
        if (!settings.notices.empty()) {
            exchange_.emplace(gateway_);
        }
        if (!settings.metrics.empty()) {
            metrics_.emplace(io_, parseAddress(settings.metrics), HttpLimits(), [this](HttpExchange &exchange) {
                return answerMetrics(exchange);
            });
        }
    }

    int run()
    {
        const GatewaySettings &settings = gateway_.settings;
        logEvent(LogEvent::ProcessStarted,
                 {{"version", MIMOSATALLY_VERSION},
                  {"settings", settings.file},
                  {"listen", settings.listen},
                  {"notices", settings.notices.empty() ? "off" : settings.notices},
                  {"grace_ms", settings.graceTime},
                  {"order_lease_ms", settings.orderLease},
                  {"retry_ratio", std::to_string(settings.retryRatio)},
                  {"retry_slack", settings.retrySlack},
                  {"retry_window_ms", settings.retryWindow}});
        startTasks();
        signals_.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                boost::asio::co_spawn(io_, shutDown(), boost::asio::detached);
            }
        });
        while (!stopped_) {
            runOneHandler();
        }
        logEvent(LogEvent::ProcessStopped, {{"active", callers_.activeExchanges()}});
        logCheckpoint();
        flushLog();
        // Calls that are still running at the end of the grace time end with their connections.
        std::_Exit(EXIT_SUCCESS);
    }

private:
    void runOneHandler()
    {
        try {
            io_.run_one();
        } catch (const InvariantViolation &violation) {
            supervisor_.escalate(violation);
        }
    }

    void startTasks()
    {
        supervisor_.start("configuration", [this](TaskContext &context) {
            return follower_.followConfiguration(context);
        });
        supervisor_.start("endpoints", [this](TaskContext &context) {
            return follower_.followEndpoints(context);
        });
        supervisor_.start("orders", [this](TaskContext &context) {
            return orders_.run(context);
        });
        if (exchange_) {
            supervisor_.start("notices", [this](TaskContext &context) {
                return exchange_->send(context);
            });
            supervisor_.start("peer-notices", [this](TaskContext &context) {
                return exchange_->receive(context);
            });
        }
        supervisor_.start("settings", [this](TaskContext &context) {
            return reload_.run(context);
        });
        supervisor_.start("housekeeping", [this](TaskContext &context) {
            return runHousekeeping(context);
        });
    }

    awaitable<void> runHousekeeping(TaskContext &context)
    {
        std::int64_t limitsVersion = -1;
        Time nextCheckpoint;
        Time nextEngineTimes;
        bool goesOn = true;
        while (goesOn) {
            const Time now = MilliClock::now();
            gateway_.connections.closeExpired(now);
            gateway_.applyEndpoints(now);
            if (gateway_.configuration && gateway_.configuration->version != limitsVersion) {
                limitsVersion = gateway_.configuration->version;
                callers_.setLimits(limitsOf(gateway_.settings, gateway_.configuration->limits));
            }
            reportDelay(now);
            if (now >= nextCheckpoint) {
                nextCheckpoint = now + CHECKPOINT_INTERVAL;
                logCheckpoint();
            }
            if (now >= nextEngineTimes) {
                nextEngineTimes = now + ENGINE_TIMES_INTERVAL;
                logEngineTimes();
            }
            flushLog();
            goesOn = co_await context.sleep(HOUSEKEEPING_INTERVAL);
        }
    }

    void logEngineTimes()
    {
        for (const auto &[service, times] : gateway_.router.engineTimes()) {
            std::uint64_t &logged = loggedSamples_[service];
            if (times.samples == logged) {
                continue;
            }
            logged = times.samples;
            logEvent(LogEvent::EngineTimesLearned,
                     {{"service", service},
                      {"samples", times.samples},
                      {"reading_fixed_ms", times.prefillFixedMs},
                      {"reading_ms_per_1k", times.prefillMsPerThousandTokens},
                      {"reading_ms_per_1m_pairs", times.prefillMsPerMillionPairs},
                      {"decode_reading_ms_per_1k", times.decodePrefillMsPerThousandTokens},
                      {"first_event_ms", times.firstEventMs},
                      {"generation_ms", times.generationMs},
                      {"sent_hit", times.sentHit},
                      {"fleet_home_hit", times.fleetAffinityHit},
                      {"region_home_hit", times.regionAffinityHit}});
        }
    }

    void reportDelay(Time now)
    {
        const std::optional<LoopDelay> held = loopWatch_.check(now, processorTimeOfProcess());
        if (held) {
            logEvent(LogEvent::EventLoopDelayed, {{"delay_ms", held->delay}, {"processor_ms", held->processorTime}, {"active", callers_.activeExchanges()}});
            gateway_.metrics.increment("mimosatally_loop_delays_total", {});
        }
    }

    awaitable<void> answerReadiness(HttpExchange &exchange)
    {
        const bool ready = gateway_.canServe() && !gateway_.leaving;
        HttpResponse response = makeHttpResponse(ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain", ready ? "ready\n" : "not ready\n");
        co_await exchange.respond(std::move(response));
    }

    awaitable<void> answerMetrics(HttpExchange &exchange)
    {
        Metrics &metrics = gateway_.metrics;
        metrics.set("mimosatally_active_calls", {}, static_cast<double>(callers_.activeExchanges()));
        metrics.set("mimosatally_caller_connections", {}, static_cast<double>(callers_.connections()));
        metrics.set("mimosatally_idle_endpoint_connections", {}, static_cast<double>(gateway_.connections.idleConnections()));
        metrics.set("mimosatally_endpoints", {}, static_cast<double>(gateway_.registry.endpoints().size()));
        metrics.set("mimosatally_log_lines_dropped", {}, static_cast<double>(droppedLogLines()));
        HttpResponse response = makeHttpResponse(STATUS_OK, "text/plain; version=0.0.4", metrics.exposition());
        co_await exchange.respond(std::move(response));
    }

    awaitable<void> pause(Duration length)
    {
        boost::asio::steady_timer timer(io_, length);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    /// \brief Goes on accepting while calls from before \a mark run: where no other process is ready, callers still come here.
    awaitable<void> finishCallsBefore(Time mark, Time end)
    {
        bool waits = true;
        while (waits) {
            const bool running = !gateway_.runningSince.empty() && *gateway_.runningSince.begin() < mark;
            waits = running && MilliClock::now() + LAST_ACCEPTING_MARGIN < end;
            if (waits) {
                co_await pause(SHUTDOWN_POLL);
            }
        }
    }

    awaitable<void> shutDown()
    {
        logEvent(LogEvent::ProcessStopping, {{"reason", "signal"}, {"active", callers_.activeExchanges()}});
        const Time end = MilliClock::now() + gateway_.settings.graceTime - GRACE_MARGIN;
        const Duration accepting = std::min(ACCEPTING_AFTER_SIGTERM, gateway_.settings.graceTime * 3 / 8);
        gateway_.leaving = true;
        gateway_.stopsAt = end;
        gateway_.refusesLongCallsFrom = MilliClock::now() + accepting - LAST_LONG_CALL_MARGIN;
        callers_.announceClosing();
        co_await pause(accepting);
        co_await finishCallsBefore(MilliClock::now(), end);
        // Kept connections stay open: a request that crosses their closing would be lost.
        callers_.stopAccepting();
        bool waits = true;
        while (waits) {
            co_await pause(SHUTDOWN_POLL);
            waits = callers_.activeExchanges() > 0 && MilliClock::now() < end;
        }
        callers_.shutDownGracefully();
        stopped_ = true;
    }

    boost::asio::io_context io_ {1};
    RpcContext rpc_ {io_};
    /// \brief Before the addresses that are listened on: a signal must not end the process by default once it has accepted a connection.
    boost::asio::signal_set signals_;
    GatewayState gateway_;
    CallHandler handler_;
    StoreFollower follower_;
    OrderController orders_;
    Supervisor supervisor_;
    HttpServer callers_;
    HttpServer readiness_;
    std::optional<HttpServer> metrics_;
    std::optional<RpcServer> peers_;
    std::optional<WorkExchange> exchange_;
    SettingsReload reload_;
    /// \brief Samples of each service at its last log line.
    std::map<ServiceId, std::uint64_t> loggedSamples_;
    LoopWatch loopWatch_ {HOUSEKEEPING_INTERVAL};
    bool stopped_ = false;
};
} // namespace

int runGateway(const GatewaySettings &settings)
{
    GatewayProcess process(settings);
    return process.run();
}

} // namespace mimosatally
