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
/// \brief Time between `/readyz` turning 503 and the end of accepting, so that requests of callers and load balancers that
/// are already on their way are answered.
constexpr Duration LEAVING_NOTICE = Duration(1000);
constexpr Duration SHUTDOWN_POLL = Duration(20);
constexpr Duration LONGEST_CLAIM_FLUSH = Duration(3000);
constexpr Duration LONGEST_AUDIT_FLUSH = Duration(5000);
/// \brief Time for closed connections and cancelled waits to leave the io_context.
constexpr std::chrono::seconds LAST_HANDLERS = std::chrono::seconds(2);
constexpr Duration AVAILABILITY_INTERVAL = Duration(500);
constexpr Duration LIST_INTERVAL = Duration(2000);
constexpr Duration LIST_TIMEOUT = Duration(2000);

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

/// \brief Notices agents that fell silent.
awaitable<void> refreshAvailability(EntryState &entry, TaskContext &context)
{
    // g++ 12 lays out the frame of a coroutine wrongly if it awaits in a loop condition and has no local variable.
    bool goesOn = true;
    while (goesOn) {
        entry.fleet.refreshAvailability();
        goesOn = co_await context.sleep(AVAILABILITY_INTERVAL);
    }
}

awaitable<void> followInstanceList(EntryState &entry, TaskContext &context)
{
    InstanceListClient client(entry.io, parseAddress(entry.settings.instanceList));
    // g++ 12 miscompiles some coroutines that await in a loop condition.
    bool goesOn = true;
    while (goesOn) {
        try {
            std::vector<ListedEndpoint> listed;
            for (const ListedInstance &instance : co_await client.fetch(LIST_TIMEOUT)) {
                if (instance.role == "agent") {
                    listed.push_back({instance.endpoint, instance.leaving});
                }
            }
            entry.directory.applyList(listed);
            entry.metrics.set("mimosatally_instance_list_reachable", {}, 1);
        } catch (const Error &) {
            // Direct observation goes on without the list.
            entry.metrics.set("mimosatally_instance_list_reachable", {}, 0);
        }
        goesOn = co_await context.sleep(LIST_INTERVAL);
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
                     // Destructors could still act on the broken state, so none of them runs.
                     std::_Exit(EXIT_INVARIANT_VIOLATED);
                 })
        , api_(entry_)
        , roles_(entry_)
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
        io_.run_for(LAST_HANDLERS);
        logEvent(LogEvent::ProcessStopped, {});
        return EXIT_SUCCESS;
    }

private:
    /// An InvariantViolation can come from a handler that belongs to no task, such as a new configuration.
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
            return roles_.run(context);
        });
        entry_.configuration.start();
    }

    awaitable<void> shutDown()
    {
        logEvent(LogEvent::ProcessStopping, {{"reason", "signal"}});
        entry_.leaving = true;
        Signal pause(io_);
        co_await pause.wait(MilliClock::now() + LEAVING_NOTICE);
        server_.shutDownGracefully();
        while (server_.activeExchanges() > 0 || server_.connections() > 0) {
            co_await pause.wait(MilliClock::now() + SHUTDOWN_POLL);
        }
        co_await entry_.claims.flush(LONGEST_CLAIM_FLUSH);
        entry_.configuration.stop();
        co_await entry_.supervisor.stop();
        entry_.chain.close(entry_.appliedVersion, MilliClock::now());
        co_await entry_.shipper.flush(LONGEST_AUDIT_FLUSH);
        stopped_ = true;
    }

    boost::asio::io_context io_ {1};
    EntryState entry_;
    HttpApi api_;
    RoleController roles_;
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
