#pragma once

#include "gatewaystate.h"

#include <mimosatally/Supervision>

#include <boost/asio/signal_set.hpp>

namespace mimosatally::internal
{

/// \brief Reloads the settings file on SIGHUP, and when its contents change without a signal.
///
/// Only the peers, the grace time, the order lease and the prefill share take effect; all other settings keep their first values.
class SettingsReload
{
public:
    SettingsReload(GatewayState &gateway, boost::asio::io_context &io);

    boost::asio::awaitable<void> run(TaskContext &context);

private:
    void awaitSignal(TaskContext &context);
    void reload(const char *reason);

    GatewayState &gateway_;
    boost::asio::signal_set signals_;
    std::string text_;
    bool signalled_ = false;
};

} // namespace mimosatally::internal
