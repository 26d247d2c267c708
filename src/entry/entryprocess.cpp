#include "entrystate.h"
#include "httpapi.h"
#include "rolecontroller.h"

#include <mimosatally/Entry>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace mimosatally
{

using boost::asio::awaitable;

namespace
{
using namespace internal;

constexpr int EXIT_INVARIANT_VIOLATED = 1;
/// \brief Time for which connections are still accepted after `/readyz` has turned 503, so that requests of callers and load balancers
/// that are already on their way are answered.
constexpr Duration ACCEPT_TIME_AFTER_SIGNAL = Duration(1000);
constexpr Duration SHUTDOWN_POLL_INTERVAL = Duration(20);
constexpr Duration CLAIM_FLUSH_TIMEOUT = Duration(3000);
constexpr Duration AUDIT_FLUSH_TIMEOUT = Duration(5000);
/// \brief Time for the handlers of closed connections and cancelled waits to finish in the io_context.
constexpr std::chrono::seconds FINAL_HANDLERS_TIMEOUT = std::chrono::seconds(2);
constexpr Duration AVAILABILITY_REFRESH_INTERVAL = Duration(500);
constexpr Duration INSTANCE_LIST_INTERVAL = Duration(2000);
constexpr Duration INSTANCE_LIST_TIMEOUT = Duration(2000);

HttpLimits limitsOf(const HttpSettings &settings)
{
    HttpLimits limits;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.maxConnections = settings.maxConnections;
    limits.transferTimeout = settings.transferTimeout;
    limits.idleTimeout = settings.idleTimeout;
    return limits;
}

/// \brief Supervised task: updates the availability of the endpoints, which detects unresponsive agents.
awaitable<void> refreshAvailability(EntryState &entry, TaskContext &context)
{
    // g++ 12 lays out the coroutine frame wrongly if the coroutine awaits in a loop condition and has no local variable.
    bool running = true;
    while (running) {
        entry.fleet.refreshAvailability();
        running = co_await context.sleep(AVAILABILITY_REFRESH_INTERVAL);
    }
}

/// \brief Supervised task: polls the instance list and passes it to the endpoint directory.
awaitable<void> followInstanceList(EntryState &entry, TaskContext &context)
{
    InstanceListClient client(entry.io, parseAddress(entry.settings.instanceList));
    // g++ 12 miscompiles some coroutines that await in a loop condition.
    bool running = true;
    while (running) {
        try {
            std::vector<ListedEndpoint> listed;
            for (const ListedInstance &instance : co_await client.fetch(INSTANCE_LIST_TIMEOUT)) {
                if (instance.role == "agent") {
                    listed.push_back({instance.endpoint, instance.leaving});
                }
            }
            entry.endpointDirectory.applyList(listed);
            entry.metrics.set("mimosatally_instance_list_reachable", {}, 1);
        } catch (const Error &) {
            // Without the list, the directory relies on direct observation alone.
            entry.metrics.set("mimosatally_instance_list_reachable", {}, 0);
        }
        running = co_await context.sleep(INSTANCE_LIST_INTERVAL);
    }
}

/// \brief One entry process from its start to its graceful shutdown.
class EntryProcess
{
public:
    explicit EntryProcess(const EntrySettings &settings)
        : entry_(io_,
                 settings,
                 [] {
                     // Destructors could act on the inconsistent state, so the process exits without running them.
                     std::_Exit(EXIT_INVARIANT_VIOLATED);
                 })
        , api_(entry_)
        , roleController_(entry_)
        , server_(io_,
                  parseAddress(settings.listen),
                  limitsOf(settings.http),
                  [this](HttpExchange &exchange) {
                      return api_.handle(exchange);
                  })
        , signals_(io_, SIGTERM, SIGINT)
    {
    }

    int run()
    {
        logEvent(LogEvent::ProcessStarted, {{"version", MIMOSATALLY_VERSION}, {"incarnation", entry_.incarnation}});
        entry_.chain.start("entry", entry_.appliedVersion, MilliClock::now());
        startTasks();
        signals_.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                boost::asio::co_spawn(io_, shutDown(), boost::asio::detached);
            }
        });
        std::cout << "listening on " << toString(server_.address()) << std::endl;
        while (!stopped_) {
            runOneHandler();
        }
        io_.run_for(FINAL_HANDLERS_TIMEOUT);
        logEvent(LogEvent::ProcessStopped, {});
        return EXIT_SUCCESS;
    }

private:
    /// \brief Runs one handler. A handler that belongs to no task, such as one that applies a new configuration, can throw an InvariantViolation.
    void runOneHandler()
    {
        try {
            io_.run_one();
        } catch (const InvariantViolation &violation) {
            entry_.supervisor.escalate(violation);
        }
    }

    void startTasks()
    {
        Supervisor &supervisor = entry_.supervisor;
        supervisor.start(
            "audit",
            [this](TaskContext &) {
                return entry_.shipper.run();
            },
            [this] {
                entry_.shipper.stop();
            });
        supervisor.start("availability", [this](TaskContext &context) {
            return refreshAvailability(entry_, context);
        });
        supervisor.start("instance-list", [this](TaskContext &context) {
            return followInstanceList(entry_, context);
        });
        supervisor.start("roles", [this](TaskContext &context) {
            return roleController_.run(context);
        });
        entry_.configuration.start();
    }

    awaitable<void> shutDown()
    {
        logEvent(LogEvent::ProcessStopping, {{"reason", "signal"}});
        entry_.shuttingDown = true;
        Signal timer(io_);
        co_await timer.wait(MilliClock::now() + ACCEPT_TIME_AFTER_SIGNAL);
        server_.shutDownGracefully();
        while (server_.activeExchanges() > 0 || server_.connections() > 0) {
            co_await timer.wait(MilliClock::now() + SHUTDOWN_POLL_INTERVAL);
        }
        co_await entry_.claims.flush(CLAIM_FLUSH_TIMEOUT);
        entry_.configuration.stop();
        co_await entry_.supervisor.stop();
        entry_.chain.close(entry_.appliedVersion, MilliClock::now());
        co_await entry_.shipper.flush(AUDIT_FLUSH_TIMEOUT);
        stopped_ = true;
    }

    boost::asio::io_context io_ {1};
    EntryState entry_;
    HttpApi api_;
    RoleController roleController_;
    HttpServer server_;
    boost::asio::signal_set signals_;
    bool stopped_ = false;
};
} // namespace

int runEntry(const EntrySettings &settings)
{
    EntryProcess process(settings);
    return process.run();
}

} // namespace mimosatally
