#include "agentnode.h"

#include <mimosatally/Agent>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace mimosatally
{

int runAgent(const AgentSettings &settings)
{
    boost::asio::io_context io;
    internal::AgentNode node(io, settings);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&node](const boost::system::error_code &error, int) {
        if (!error) {
            node.startShutdown("signal");
        }
    });
    std::exception_ptr failure;
    boost::asio::co_spawn(io, node.run(), [&io, &failure](std::exception_ptr error) {
        failure = error;
        io.stop();
    });
    try {
        io.run();
    } catch (const InvariantViolation &violation) {
        node.escalate(violation);
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
    return node.hasEscalated() ? 1 : 0;
}

} // namespace mimosatally
