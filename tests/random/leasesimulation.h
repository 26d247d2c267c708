#pragma once

#include "fakelog.h"

#include <mimosatally/Authority>

#include <map>
#include <memory>

namespace schedules
{

using namespace mimosatally;

/// \brief Rule that the simulation breaks, to show that the invariants detect it.
enum class LeaseFault {
    None,
    AuthorityReadSkipped,
    GateLosesState,
    ReadBackSkipped,
    ReadBackTooEarly,
    WriteOutlivesOrder,
    ExpiryIgnored,
    IncarnationIgnored,
};

/// \brief Simulation of entries with a LeaseHolder and one agent with an OrderGate on a fake log, a fake network and a fake endpoint.
///
/// Each process has a clock with its own offset and rate. The endpoint ignores fencing tokens, or checks them.
class LeaseSimulation
{
public:
    LeaseSimulation(LeaseFault fault, bool checksFencing);

    /// \brief Runs one step, whose choices are drawn from \a seed.
    void step(std::uint32_t seed);

    /// \brief Number of orders that took effect.
    std::size_t effects() const
    {
        return executedOrders_.size();
    }

private:
    /// \brief Clock of one instance: shows `offset + real time * rate / 100`.
    struct Clock {
        std::int64_t offset = 0;
        std::int64_t rate = 100;
    };

    struct Entry {
        Clock clock;
        int incarnationNumber = 0;
        std::unique_ptr<LeaseHolder> holder;
        /// \brief Table with the same records as the holder has read.
        LeaseTable table;
        bool paused = false;
        /// \brief Last epoch that was held, for LeaseFault::ExpiryIgnored.
        std::optional<Epoch> lastHeld;
        /// \brief Times on the entry's clock just before its appends, by payload.
        std::map<std::string, Time> appendTimes;
        /// \brief Time at which it read the last record of another holder.
        std::optional<Time> lastForeignRecord;
        IncarnationId incarnation;
    };

    struct Write {
        Order order;
        /// \brief Real time from which it can no longer take effect.
        std::int64_t deadline;
        int agentIncarnationNumber;
    };

    [[nodiscard]] Time now(const Clock &clock) const;
    void startEntry(std::size_t index);
    void startAgent();
    void pollLog(Draw &draw);
    void perform(std::size_t index, const std::vector<LeaseAction> &actions);
    void checkAcquire(const Entry &entry) const;
    void sendOrder(Draw &draw);
    void checkHeld(const Entry &entry, Epoch epoch) const;
    void deliver(Draw &draw);
    void authorizeOrder(Draw &draw);
    void startWrite(const Order &order);
    void stepEndpoint(Draw &draw);
    void takeEffect(const Order &order);
    void readBack(Draw &draw);
    void injectFault(Draw &draw);
    void expireWrites();
    [[nodiscard]] Epoch newestEpoch() const;
    [[nodiscard]] bool hasFault(LeaseFault fault) const
    {
        return fault_ == fault;
    }

    LeaseFault fault_;
    bool checksFencing_;
    std::int64_t realTime_ = 0;
    FakeLog log_;
    std::vector<Entry> entries_;
    Clock agentClock_;
    int agentIncarnationNumber_ = 0;
    IncarnationId agentIncarnation_;
    std::unique_ptr<OrderGate> gate_;
    bool agentPaused_ = false;
    /// \brief Newest epoch in the log when the agent received its current order.
    Epoch newestAtReceipt_;
    std::optional<Time> readStart_;
    std::vector<Order> orders_;
    std::vector<Write> writes_;
    Epoch fencingToken_ = Epoch(-1);
    Epoch lastEffectEpoch_ = Epoch(-1);
    std::set<OrderId> executedOrders_;
    int idCount_ = 0;
};

} // namespace schedules
