#pragma once

#include "gatewaystate.h"

#include <mimosatally/Supervision>

#include <boost/asio/signal_set.hpp>

namespace mimosatally::internal
{

/// \brief Reads the settings file again after SIGHUP, and when it changes without a signal.
///
/// Addresses that the process listens on and its place keep their first values.
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
