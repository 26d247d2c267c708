#include "settingsreload.h"

#include <csignal>
#include <fstream>
#include <sstream>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
/// \brief Maximum time until a change without a signal takes effect.
constexpr Duration CHECK_INTERVAL = Duration(1000);

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
} // namespace

SettingsReload::SettingsReload(GatewayState &gateway, boost::asio::io_context &io)
    : gateway_(gateway)
    , signals_(io, SIGHUP)
    , text_(readFile(gateway.settings.file))
{
}

void SettingsReload::awaitSignal(TaskContext &context)
{
    signals_.async_wait([this, &context](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        signalled_ = true;
        context.wake();
        awaitSignal(context);
    });
}

awaitable<void> SettingsReload::run(TaskContext &context)
{
    awaitSignal(context);
    bool running = true;
    while (running) {
        running = co_await context.sleep(CHECK_INTERVAL);
        if (running) {
            reload(std::exchange(signalled_, false) ? "signal" : "file-changed");
        }
    }
    signals_.cancel();
}

void SettingsReload::reload(const char *reason)
{
    std::string text = readFile(gateway_.settings.file);
    const bool changed = text != text_;
    if (!changed) {
        if (reason == std::string_view("signal")) {
            logEvent(LogEvent::SettingsReloaded, {{"reason", reason}, {"changed", "false"}});
        }
        return;
    }
    text_ = std::move(text);
    try {
        const GatewaySettings next = parseGatewaySettings(text_, gateway_.settings.file);
        gateway_.settings.peers = next.peers;
        gateway_.settings.graceTime = next.graceTime;
        gateway_.settings.orderLease = next.orderLease;
        gateway_.settings.prefillShare = next.prefillShare;
        logEvent(LogEvent::SettingsReloaded, {{"reason", reason}, {"changed", "true"}, {"peers", next.peers.size()}});
    } catch (const FindingsError &error) {
        logEvent(LogEvent::SettingsUnreadable, {{"reason", reason}, {"error", error.what()}});
    }
}

} // namespace mimosatally::internal
