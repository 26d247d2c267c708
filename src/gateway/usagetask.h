#pragma once

#include "dutylease.h"

#include <mimosatally/Usage>

#include <platform/dutyclient.h>
#include <platform/storeclient.h>

namespace mimosatally::internal
{

/// \brief Writes usage reports to the store and sends them to the platform while this process holds the lease, as UsageReporter decides.
class UsageTask
{
public:
    /// \param client client of the platform's API, which other duties also use.
    UsageTask(GatewayState &gateway, DutyLease &lease, platform::DutyClient &client, UsageLedger &ledger, const FleetClock &clock);

    boost::asio::awaitable<void> run(TaskContext &context);

private:
    /// \brief Carries out the next action. \return false if there is none.
    boost::asio::awaitable<bool> step();
    /// \brief Passes a change of the lease on to the reporter. \return true if the process may act.
    bool followLease();
    [[nodiscard]] std::optional<UsageView> view() const;

    boost::asio::awaitable<void> claimEpoch(const UsageEpochClaim &claim);
    boost::asio::awaitable<void> readRecord();
    boost::asio::awaitable<void> write(const UsageWrite &write);
    boost::asio::awaitable<void> send(const UsageSend &send);
    /// \brief Appends to the store and records the result. \return true if the store has executed the append.
    boost::asio::awaitable<bool> append(std::int64_t sequence, const std::optional<platform::KeyedRecord> &record);
    void recordStoreFailure(std::string_view operation, std::string_view error);
    void logWritten(const UsageWrite &write) const;
    void logMissed();
    [[nodiscard]] std::int64_t ageOf(UsageWindow window) const;

    GatewayState &gateway_;
    DutyLease &lease_;
    platform::DutyClient &client_;
    UsageLedger &ledger_;
    const FleetClock &clock_;
    platform::StoreClient store_;
    UsageReporter reporter_;
};

} // namespace mimosatally::internal
