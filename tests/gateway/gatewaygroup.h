#pragma once

#include "gatewayfixture.h"

#include <memory>

namespace mimosatally::test
{

/// \brief Gateways that share the endpoints and the store of a fixture and exchange datagrams, each with its own address on the loopback network.
class GatewayGroup
{
public:
    GatewayGroup(GatewayFixture &fixture, int count)
        : noticePort_(freePort())
    {
        for (int i = 1; i <= count; ++i) {
            start(fixture, i, count);
        }
        for (const auto &gateway : gateways_) {
            gateway->waitForOutput("ServingConfigurationInForce");
            gateway->waitForOutput("EndpointChanged");
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

    /// \brief Waits until each gateway has received a datagram from another one.
    void awaitPeers()
    {
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

    void start(GatewayFixture &fixture, int number, int count)
    {
        const std::string name = std::string(BINARY_DIRECTORY) + "/gateway-" + std::to_string(getpid()) + "-" + std::to_string(number);
        callerAddresses_.push_back(freeAddress());
        metricsAddresses_.push_back(freeAddress());
        std::string peers;
        for (int i = 1; i <= std::min(count, MAX_SEEDS); ++i) {
            peers += (peers.empty() ? "\"" : ", \"") + hostOf(i) + ":1\"";
        }
        std::ofstream(name + ".toml") << "process = \"g" << number << "\"\ndata_centre = \"here\"\nlisten = \"" << callerAddresses_.back()
                                      << "\"\nreadiness = \"" << freeAddress() << "\"\nmetrics = \"" << metricsAddresses_.back() << "\"\nstore = \""
                                      << fixture.store().address() << "\"\nnotices = \"" << hostOf(number) << ":" << noticePort_ << "\"\npeers = [" << peers
                                      << "]\n[[data_centres]]\nid = \"here\"\nregion = \"r\"\n";
        gateways_.push_back(
            std::make_unique<TestProgram>(std::string(BINARY_DIRECTORY) + "/mimosatally", std::vector<std::string> {"gateway", name + ".toml"}, name + ".log"));
    }

    /// \brief The platform names at most three other processes to each.
    static constexpr int MAX_SEEDS = 3;

    std::string noticePort_;
    std::vector<std::string> callerAddresses_;
    std::vector<std::string> metricsAddresses_;
    std::vector<std::unique_ptr<TestProgram>> gateways_;
};

} // namespace mimosatally::test
