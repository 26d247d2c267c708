#pragma once

#include "gatewayfixture.h"
#include "noticerelay.h"

#include <memory>

namespace mimosatally::test
{

/// \brief Gateways that share the endpoints and the store of a fixture and exchange datagrams, each with its own address on the loopback network.
class GatewayGroup
{
public:
    /// \brief How datagrams get from one gateway to another.
    enum class Links {
        Direct,
        /// \brief Through relay().
        Relayed,
    };

    /// \param storeOfLast store of the last gateway, if it is not that of the fixture. \param tables further tables of the settings files.
    GatewayGroup(GatewayFixture &fixture, int count, const std::string &storeOfLast = {}, Links links = Links::Direct, std::string tables = {})
        : noticePort_(freePort())
        , tables_(std::move(tables))
    {
        if (links == Links::Relayed) {
            relay_ = std::make_unique<NoticeRelay>(static_cast<unsigned short>(std::stoi(noticePort_)), static_cast<std::size_t>(count));
        }
        for (int i = 1; i <= count; ++i) {
            writeSettings(i, count, i == count && !storeOfLast.empty() ? storeOfLast : fixture.store().address());
            gateways_.emplace_back();
            start(static_cast<std::size_t>(i) - 1);
        }
        for (std::size_t i = 0; i < size(); ++i) {
            awaitServing(i);
        }
    }

    [[nodiscard]] std::size_t size() const
    {
        return gateways_.size();
    }

    [[nodiscard]] const std::string &callerAddress(std::size_t index) const
    {
        return callerAddresses_[index];
    }

    [[nodiscard]] const std::string &metricsAddress(std::size_t index) const
    {
        return metricsAddresses_[index];
    }

    TestProgram &gateway(std::size_t index)
    {
        return *gateways_[index];
    }

    /// \brief Relay of the datagrams; only with Links::Relayed.
    NoticeRelay &relay()
    {
        return *relay_;
    }

    /// \brief Kills one gateway, and returns when its process has ended.
    void kill(std::size_t index)
    {
        gateways_[index]->send(SIGKILL);
        gateways_[index]->wait();
    }

    /// \brief Kills all gateways at once, and returns when their processes have ended.
    void killAll()
    {
        for (const auto &gateway : gateways_) {
            gateway->send(SIGKILL);
        }
        for (const auto &gateway : gateways_) {
            gateway->wait();
        }
    }

    /// \brief Starts all gateways again, with the same settings and addresses, after killAll(). \return when they serve.
    void restartAll()
    {
        for (std::size_t i = 0; i < size(); ++i) {
            start(i);
        }
        for (std::size_t i = 0; i < size(); ++i) {
            awaitServing(i);
        }
    }

    /// \brief Waits until each gateway has received a datagram from another one.
    void awaitPeers()
    {
        if (relay_) {
            relay_->awaitAllLinks();
            return;
        }
        for (std::size_t i = 0; i < metricsAddresses_.size() && size() > 1; ++i) {
            waitUntil("the gateways know each other", [&] {
                return get(metricsAddresses_[i], "/metrics").body().find("mimosatally_peers " + std::to_string(size() - 1)) != std::string::npos;
            });
        }
    }

private:
    static std::string hostOf(int number)
    {
        return "127.0.0." + std::to_string(number);
    }

    static std::string freePort()
    {
        const std::string address = freeAddress();
        return address.substr(address.rfind(':') + 1);
    }

    /// \brief Path of the files of a gateway, without their endings.
    static std::string nameOf(std::size_t index)
    {
        return std::string(BINARY_DIRECTORY) + "/gateway-" + std::to_string(getpid()) + "-" + std::to_string(index + 1);
    }

    void writeSettings(int number, int count, const std::string &store)
    {
        callerAddresses_.push_back(freeAddress());
        metricsAddresses_.push_back(freeAddress());
        std::string peers;
        for (int i = 1; i <= std::min(count, MAX_SEEDS); ++i) {
            const std::string host = relay_ ? NoticeRelay::publicHostOf(static_cast<std::size_t>(i) - 1) : hostOf(i);
            peers += (peers.empty() ? "\"" : ", \"") + host + ":1\"";
        }
        std::ofstream(nameOf(static_cast<std::size_t>(number) - 1) + ".toml")
            << "process = \"g" << number << "\"\ndata_centre = \"here\"\nlisten = \"" << callerAddresses_.back() << "\"\nreadiness = \"" << freeAddress()
            << "\"\nmetrics = \"" << metricsAddresses_.back() << "\"\nstore = \"" << store << "\"\nnotices = \"" << hostOf(number) << ":" << noticePort_
            << "\"\npeers = [" << peers << "]\n[[data_centres]]\nid = \"here\"\nregion = \"r\"\n"
            << tables_;
    }

    void start(std::size_t index)
    {
        const std::string name = nameOf(index);
        gateways_[index] =
            std::make_unique<TestProgram>(std::string(BINARY_DIRECTORY) + "/mimosatally", std::vector<std::string> {"gateway", name + ".toml"}, name + ".log");
    }

    void awaitServing(std::size_t index)
    {
        gateways_[index]->waitForOutput("ServingConfigurationInForce");
        gateways_[index]->waitForOutput("EndpointChanged");
    }

    /// \brief The platform names at most three other processes to each.
    static constexpr int MAX_SEEDS = 3;

    std::string noticePort_;
    std::string tables_;
    std::unique_ptr<NoticeRelay> relay_;
    std::vector<std::string> callerAddresses_;
    std::vector<std::string> metricsAddresses_;
    std::vector<std::unique_ptr<TestProgram>> gateways_;
};

} // namespace mimosatally::test
