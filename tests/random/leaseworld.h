#pragma once

#include "fakelog.h"

#include <mimosatally/Authority>

#include <map>
#include <memory>

namespace schedules
{

using namespace mimosatally;

/// \brief Rule that a fake breaks, to show that the invariants find it.
enum class LeaseFault {
    None,
    AuthorityUnread,
    GateForgets,
    ReadBackSkipped,
    ReadBackTooEarly,
    WriteOutlivesOrder,
    ExpiryIgnored,
    IncarnationIgnored,
};

/// \brief Entries with a LeaseHolder and one agent with an OrderGate under a fake log, a fake network and a fake endpoint.
///
/// Each process has a clock with its own offset and rate. The endpoint ignores fencing tokens, or checks them.
class LeaseWorld
{
public:
    LeaseWorld(LeaseFault fault, bool checksFencing);

    void step(std::uint32_t number);

    std::size_t effects() const
    {
        return effects_.size();
    }

private:
    /// \brief Clock of one instance: reads `offset + real time * rate / 100`.
    struct Clock {
        std::int64_t offset = 0;
        std::int64_t rate = 100;
    };

    struct Entry {
        Clock clock;
        int number = 0;
        std::unique_ptr<LeaseHolder> holder;
        /// \brief The same records as the holder has read.
        LeaseTable table;
        bool paused = false;
        /// \brief Last epoch that was held, for the fake that ignores expiry.
        std::optional<Epoch> lastHeld;
        /// \brief Times on the entry's clock before its appends, by payload.
        std::map<std::string, Time> sent;
        /// \brief When it saw the last record of another holder.
        std::optional<Time> lastForeignRecord;
        IncarnationId incarnation;
    };

    struct Write {
        Order order;
        /// \brief Real time after which it has no effect any more.
        std::int64_t deadline;
        int agentNumber;
    };

    [[nodiscard]] Time now(const Clock &clock) const;
    void startEntry(std::size_t index);
    void startAgent();
    void poll(Draw &draw);
    void perform(std::size_t index, const std::vector<LeaseAction> &actions);
    void checkAcquire(const Entry &entry) const;
    void sendOrder(Draw &draw);
    void checkHeld(const Entry &entry, Epoch epoch) const;
    void deliver(Draw &draw);
    void decideOrder(Draw &draw);
    void startWrite(const Order &order);
    void endpointStep(Draw &draw);
    void takeEffect(const Order &order);
    void readBack(Draw &draw);
    void disturb(Draw &draw);
    void endOverdueWrites();
    [[nodiscard]] Epoch newestEpoch() const;
    [[nodiscard]] bool faulty(LeaseFault fault) const
    {
        return fault_ == fault;
    }

    LeaseFault fault_;
    bool checksFencing_;
    std::int64_t realTime_ = 0;
    FakeLog log_;
    std::vector<Entry> entries_;
    Clock agentClock_;
    int agentNumber_ = 0;
    IncarnationId agentIncarnation_;
    std::unique_ptr<OrderGate> gate_;
    bool agentPaused_ = false;
    /// \brief Newest epoch in the log when the agent received its current order.
    Epoch newestAtReceipt_;
    std::optional<Time> readStart_;
    std::vector<Order> orders_;
    std::vector<Write> writes_;
    Epoch token_ = Epoch(-1);
    Epoch effectEpoch_ = Epoch(-1);
    std::set<OrderId> effects_;
    int ids_ = 0;
};

} // namespace schedules
