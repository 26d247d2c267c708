#include "callhandler.h"
#include "dutylease.h"
#include "endpointhistory.h"
#include "loopmonitor.h"
#include "noticeexchange.h"
#include "ordercontroller.h"
#include "settingsreload.h"
#include "speedreport.h"
#include "storefollower.h"
#include "usagetask.h"

#include <mimosatally/Gateway>
#include <mimosatally/Http>
#include <mimosatally/Supervision>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>

namespace mimosatally
{

using boost::asio::awaitable;
using boost::asio::use_awaitable;

namespace
{
using namespace internal;

constexpr int EXIT_INVARIANT_VIOLATED = 1;
constexpr unsigned STATUS_OK = 200;
constexpr unsigned STATUS_UNAVAILABLE = 503;
constexpr Duration HOUSEKEEPING_INTERVAL = Duration(200);
/// \brief Interval between the log lines with the engine times learned.
constexpr Duration ENGINE_TIMES_LOG_INTERVAL = Duration(5000);
constexpr Duration LIMIT_REPORT_INTERVAL = Duration(1000);
/// \brief A compromise: the lines after the last checkpoint of a killed process are not covered, and each checkpoint is a line of 200 bytes.
constexpr Duration CHECKPOINT_INTERVAL = Duration(1000);
/// \brief New connections are still accepted for this time after SIGTERM, since the load balancer notices only at its second probe.
constexpr Duration ACCEPT_TIME_AFTER_SIGTERM = Duration(3000);
/// \brief The process exits this long before the platform would kill it.
constexpr Duration GRACE_MARGIN = Duration(500);
/// \brief Calls that could outlast the process are refused from this long before it stops accepting; by then callers know other processes.
constexpr Duration LONG_CALL_REFUSAL_MARGIN = Duration(500);
/// \brief Accepting stops this long before the end of the process, so that accepted calls are read and answered.
constexpr Duration STOP_ACCEPTING_MARGIN = Duration(500);
/// \brief Time, within GRACE_MARGIN, to tell the callers of calls that are still running that they have failed.
constexpr Duration FINAL_ANSWER_TIME = Duration(250);
/// \brief Time, within GRACE_MARGIN, to answer the requests that arrive while the connections are being closed.
constexpr Duration CONNECTION_CLOSE_TIME = Duration(100);
constexpr Duration SHUTDOWN_POLL_INTERVAL = Duration(50);
/// \brief Cap'n Proto applies the bound to calls and to answers, which carry whole configurations.
constexpr std::size_t MAX_PEER_MESSAGE_BYTES = std::size_t(16) * 1024 * 1024;
/// \brief A connection is closed this much later than its caller may use it. The caller counts from when it got the last answer, and a slow link that is busy
/// delays that answer and the next request by seconds.
constexpr Duration IDLE_MARGIN = Duration(5000);
/// \brief Fraction of the memory limit that requests may hold; answers, which are larger, hold more.
constexpr std::size_t REQUESTS_PER_MEMORY = 8;

HttpLimits limitsOf(const GatewaySettings &settings, const CallerLimits &limits)
{
    HttpLimits result;
    result.maxHeaderBytes = limits.maxHeaderBytes;
    result.maxBodyBytes = limits.maxBodyBytes;
    result.maxConnections = settings.maxConnections;
    result.idleTimeout = limits.idleTimeout + IDLE_MARGIN;
    result.maxHeldBytes = settings.memoryLimit / REQUESTS_PER_MEMORY;
    return result;
}

/// \brief Limits of the listeners for readiness and metrics, whose requests have no body. Probes that leave their connections open must not use them up.
HttpLimits probeLimits()
{
    HttpLimits result;
    result.maxBodyBytes = std::size_t(4) * 1024;
    result.maxConnections = 1024;
    result.maxHeldBytes = std::size_t(1024) * 1024;
    return result;
}

/// \brief Number of gateways according to the settings, this one included.
int configuredProcessCount(const GatewaySettings &settings)
{
    const auto others = std::ranges::count_if(settings.peers, [&settings](const std::string &peer) {
        return peer != settings.peerListen;
    });
    return 1 + static_cast<int>(others);
}

/// \brief One gateway process from its start to its graceful shutdown.
class GatewayProcess
{
public:
    explicit GatewayProcess(const GatewaySettings &settings)
        : signals_(io_, SIGTERM, SIGINT)
        , gateway_(io_, settings)
        , callHandler_(gateway_)
        , recordIntake_(gateway_)
        , peerReader_(gateway_, rpc_, recordIntake_)
        , storeFollower_(gateway_, recordIntake_, peerReader_)
        , endpointHistory_(gateway_)
        , dutyLease_(gateway_)
        , orderController_(gateway_, dutyLease_)
        , supervisor_(io_,
                      static_cast<std::uint64_t>(MilliClock::now().time_since_epoch().count()),
                      Supervisor::Options(),
                      [] {
                          flushLog();
                          std::_Exit(EXIT_INVARIANT_VIOLATED);
                      })
        , callerServer_(io_,
                        parseAddress(settings.listen),
                        limitsOf(settings, CallerLimits()),
                        [this](HttpExchange &exchange) {
                            return callHandler_.handle(exchange);
                        })
        , readinessServer_(io_,
                           parseAddress(settings.readiness),
                           probeLimits(),
                           [this](HttpExchange &exchange) {
                               return answerReadiness(exchange);
                           })
        , settingsReload_(gateway_, io_)
    {
        gateway_.onConfiguration([this](const ServingConfiguration &configuration) {
            callerServer_.setLimits(limitsOf(gateway_.settings, configuration.limits));
        });
        callerServer_.onConnectionEnd([this](const ConnectionEnd &end) {
            recordConnectionEnd(end);
        });
        if (!settings.platformApi.address.empty()) {
            dutyClient_.emplace(io_, parseAddress(settings.platformApi.address), settings.platformApi.callsPerSecond);
        }
        if (dutyClient_ && settings.platformApi.reportsUsage) {
            usageTask_.emplace(gateway_, dutyLease_, *dutyClient_, gateway_.usageLedger, gateway_.fleetClock);
        }
        gateway_.streamLookup.setCover([this] {
            return endpointHistory_.cover();
        });
        if (!settings.peerListen.empty()) {
            peerServer_.emplace(rpc_, parseAddress(settings.peerListen), kj::heap<PeerService>(recordIntake_.newest()), MAX_PEER_MESSAGE_BYTES);
        }
        if (!settings.notices.empty()) {
            noticeExchange_.emplace(gateway_);
            noticeExchange_->onPeersReturned([this](Duration silence) {
                gateway_.registry.recordPeerSilence(silence, MilliClock::now(), gateway_.settings.heartbeatInterval);
                storeFollower_.recordNetworkReturn();
            });
        }
        if (!settings.metrics.empty()) {
            metricsServer_.emplace(io_, parseAddress(settings.metrics), probeLimits(), [this](HttpExchange &exchange) {
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
        logEvent(LogEvent::ProcessStopped, {{"active", callerServer_.activeExchanges()}});
        logCheckpoint();
        flushLog();
        // Calls still running at the end of the grace time are cut off with their connections.
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
            return storeFollower_.followConfiguration(context);
        });
        supervisor_.start("endpoints", [this](TaskContext &context) {
            return storeFollower_.followEndpoints(context);
        });
        if (dutyClient_) {
            supervisor_.start("lease", [this](TaskContext &context) {
                return dutyLease_.run(context);
            });
        }
        if (usageTask_) {
            supervisor_.start("usage", [this](TaskContext &context) {
                return usageTask_->run(context);
            });
        }
        supervisor_.start("orders", [this](TaskContext &context) {
            return orderController_.run(context);
        });
        if (noticeExchange_) {
            supervisor_.start("notices", [this](TaskContext &context) {
                return noticeExchange_->send(context);
            });
            supervisor_.start("usage-notices", [this](TaskContext &context) {
                return noticeExchange_->sendUsage(context);
            });
            supervisor_.start("peer-notices", [this](TaskContext &context) {
                return noticeExchange_->receive(context);
            });
        }
        supervisor_.start("settings", [this](TaskContext &context) {
            return settingsReload_.run(context);
        });
        supervisor_.start("housekeeping", [this](TaskContext &context) {
            return runHousekeeping(context);
        });
    }

    awaitable<void> runHousekeeping(TaskContext &context)
    {
        Time nextCheckpoint;
        Time nextEngineTimes;
        Time nextLimitReport;
        bool running = true;
        while (running) {
            const Time now = MilliClock::now();
            gateway_.connections.closeExpired(now);
            gateway_.applyEndpoints(now);
            gateway_.usageCounter.update(ownUnixMs(), now);
            gateway_.crashWatch.decide(now);
            if (!noticeExchange_) {
                gateway_.setProcessCount(configuredProcessCount(gateway_.settings), now);
            }
            reportLoopDelay(now);
            if (now >= nextCheckpoint) {
                nextCheckpoint = now + CHECKPOINT_INTERVAL;
                logCheckpoint();
            }
            if (now >= nextLimitReport) {
                nextLimitReport = now + LIMIT_REPORT_INTERVAL;
                gateway_.limitReport.update(now);
                gateway_.crashWatch.update(now);
            }
            if (now >= nextEngineTimes) {
                nextEngineTimes = now + ENGINE_TIMES_LOG_INTERVAL;
                logEngineTimes();
                internal::logSpeeds(gateway_.router, now);
            }
            flushLog();
            running = co_await context.sleep(HOUSEKEEPING_INTERVAL);
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

    void reportLoopDelay(Time now)
    {
        const std::optional<LoopDelay> delay = loopMonitor_.check(now, processorTimeOfProcess());
        if (delay) {
            logEvent(LogEvent::EventLoopDelayed,
                     {{"delay_ms", delay->delay}, {"processor_ms", delay->processorTime}, {"active", callerServer_.activeExchanges()}});
            gateway_.metrics.increment("mimosatally_loop_delays_total", {});
        }
    }

    void recordConnectionEnd(const ConnectionEnd &end)
    {
        gateway_.metrics.increment("mimosatally_caller_connections_ended_total", "reason=\"" + std::string(toString(end.reason)) + '"');
        const bool byAnswer = end.reason == ConnectionEndReason::Completed || end.reason == ConnectionEndReason::Aborted;
        const bool byCaller = end.reason == ConnectionEndReason::CallerClosed && end.unreadBytes == 0;
        if (byAnswer || byCaller) {
            return;
        }
        logEvent(LogEvent::CallerConnectionEnded,
                 {{"reason", toString(end.reason)},
                  {"answering", end.answering ? "true" : "false"},
                  {"unread_bytes", end.unreadBytes},
                  {"requests", end.requests},
                  {"idle_ms", end.idle},
                  {"error", end.error.empty() ? "-" : end.error}});
    }

    awaitable<void> answerReadiness(HttpExchange &exchange)
    {
        const bool ready = gateway_.canServe() && !gateway_.stopping;
        HttpResponse response = makeHttpResponse(ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain", ready ? "ready\n" : "not ready\n");
        co_await exchange.respond(std::move(response));
    }

    awaitable<void> answerMetrics(HttpExchange &exchange)
    {
        Metrics &metrics = gateway_.metrics;
        metrics.set("mimosatally_active_calls", {}, static_cast<double>(callerServer_.activeExchanges()));
        metrics.set("mimosatally_caller_connections", {}, static_cast<double>(callerServer_.connections()));
        metrics.set("mimosatally_idle_endpoint_connections", {}, static_cast<double>(gateway_.connections.idleConnections()));
        metrics.set("mimosatally_answer_bytes_held", {}, static_cast<double>(gateway_.answerBytes.heldBytes()));
        metrics.set("mimosatally_answer_bytes_held_peak", {}, static_cast<double>(gateway_.answerBytes.peakBytes()));
        metrics.set("mimosatally_request_bytes_held", {}, static_cast<double>(callerServer_.heldBytes().heldBytes()));
        metrics.set("mimosatally_request_bytes_held_peak", {}, static_cast<double>(callerServer_.heldBytes().peakBytes()));
        metrics.set("mimosatally_requests_revoked", {}, static_cast<double>(callerServer_.heldBytes().revocations()));
        metrics.set("mimosatally_answers_revoked", {}, static_cast<double>(gateway_.answerBytes.revocations()));
        metrics.set("mimosatally_endpoints", {}, static_cast<double>(gateway_.registry.endpoints().size()));
        internal::setSpeedMetrics(gateway_.router, metrics);
        const std::optional<Time> read = storeFollower_.configurationReadAt();
        if (read) {
            metrics.set("mimosatally_configuration_read_age_ms", {}, static_cast<double>((MilliClock::now() - *read).count()));
        }
        metrics.set("mimosatally_configuration_read_pending", {}, storeFollower_.isReadingConfiguration() ? 1 : 0);
        metrics.set("mimosatally_log_lines_dropped", {}, static_cast<double>(droppedLogLines()));
        HttpResponse response = makeHttpResponse(STATUS_OK, "text/plain; version=0.0.4", metrics.exposition());
        co_await exchange.respond(std::move(response));
    }

    awaitable<void> pause(Duration duration)
    {
        boost::asio::steady_timer timer(io_, duration);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(use_awaitable, ignored));
    }

    /// \brief Keeps accepting while calls that arrived before \a mark are running: if no other process is ready, callers still connect here.
    awaitable<void> awaitCallsArrivedBefore(Time mark, Time end)
    {
        bool waiting = true;
        while (waiting) {
            const bool running = !gateway_.activeCalls.empty() && gateway_.activeCalls.begin()->first < mark;
            waiting = running && MilliClock::now() + STOP_ACCEPTING_MARGIN < end;
            if (waiting) {
                co_await pause(SHUTDOWN_POLL_INTERVAL);
            }
        }
    }

    awaitable<bool> hasPendingRequests()
    {
        if (callerServer_.pendingRequests() > 0) {
            co_return true;
        }
        // After a stall, requests may have been read whose connections resume only behind the handlers that are ready.
        co_await boost::asio::post(io_, use_awaitable);
        co_return callerServer_.pendingRequests() > 0;
    }

    /// \brief Waits until \a end at the latest for the calls in progress and for requests that are unread or being received.
    awaitable<void> awaitLastCall(Time end)
    {
        bool waiting = true;
        while (waiting) {
            co_await pause(SHUTDOWN_POLL_INTERVAL);
            const bool pending = co_await hasPendingRequests();
            waiting = pending && MilliClock::now() < end;
        }
    }

    awaitable<void> awaitConnectionsClosed(Time end)
    {
        constexpr Duration pollInterval = Duration(10);
        do {
            co_await pause(pollInterval);
        } while (callerServer_.connections() > 0 && MilliClock::now() < end);
    }

    awaitable<void> shutDown()
    {
        logEvent(LogEvent::ProcessStopping, {{"reason", "signal"}, {"active", callerServer_.activeExchanges()}});
        const Time end = MilliClock::now() + gateway_.settings.graceTime - GRACE_MARGIN;
        const Duration acceptTime = std::min(ACCEPT_TIME_AFTER_SIGTERM, gateway_.settings.graceTime * 3 / 8);
        gateway_.stopping = true;
        gateway_.stopDeadline = end;
        gateway_.longCallsRefusedFrom = MilliClock::now() + acceptTime - LONG_CALL_REFUSAL_MARGIN;
        callerServer_.announceClosing();
        co_await pause(acceptTime);
        co_await awaitCallsArrivedBefore(MilliClock::now(), end);
        // Keep-alive connections stay open: a request that is sent while its connection is being closed would be lost.
        callerServer_.stopAccepting();
        co_await awaitLastCall(end);
        gateway_.expireActiveCalls();
        co_await awaitLastCall(end + FINAL_ANSWER_TIME);
        if (noticeExchange_) {
            noticeExchange_->sendLastUsage();
        }
        callerServer_.shutDownGracefully();
        co_await awaitConnectionsClosed(MilliClock::now() + CONNECTION_CLOSE_TIME);
        stopped_ = true;
    }

    boost::asio::io_context io_ {1};
    RpcContext rpc_ {io_};
    /// \brief Initialised before the listeners: once the process accepts connections, the default action of a signal must not end it.
    boost::asio::signal_set signals_;
    GatewayState gateway_;
    CallHandler callHandler_;
    RecordIntake recordIntake_;
    PeerReader peerReader_;
    StoreFollower storeFollower_;
    EndpointHistory endpointHistory_;
    DutyLease dutyLease_;
    OrderController orderController_;
    std::optional<platform::DutyClient> dutyClient_;
    std::optional<UsageTask> usageTask_;
    Supervisor supervisor_;
    HttpServer callerServer_;
    HttpServer readinessServer_;
    std::optional<HttpServer> metricsServer_;
    std::optional<RpcServer> peerServer_;
    std::optional<NoticeExchange> noticeExchange_;
    SettingsReload settingsReload_;
    /// \brief Number of samples of each service at its last log line.
    std::map<ServiceId, std::uint64_t> loggedSamples_;
    LoopMonitor loopMonitor_ {HOUSEKEEPING_INTERVAL};
    bool stopped_ = false;
};
} // namespace

int runGateway(const GatewaySettings &settings)
{
    GatewayProcess process(settings);
    return process.run();
}

} // namespace mimosatally
