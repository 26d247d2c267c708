#pragma once

#include "fakelog.h"

#include <mimosatally/Claims>

#include <map>
#include <memory>

namespace schedules
{

using namespace mimosatally;

/// \brief Rule that a fake breaks, to show that the invariants find it.
enum class ClaimFault {
    None,
    GateForgets,
    GateIgnoresIncarnation,
    VoidWithoutWord,
    LoserSubmits,
    SubmitAfterNotRun,
    NotRunWithoutWord,
    VoidAfterSubmit,
};

/// \brief Entries with a ClaimTable and agents with a ClaimGate under a fake log and a fake network.
///
/// A message belongs to a connection, hence to one incarnation of an agent: it is delivered to that one, late, more than once, or never.
class ClaimWorld
{
public:
    explicit ClaimWorld(ClaimFault fault);

    void step(std::uint32_t number);

    /// \brief Reads the whole log everywhere and checks the tables against each other.
    void finish();

    std::size_t executions() const
    {
        return executedClaims_.size();
    }

private:
    enum class CallState {
        Appending,
        Reading,
        Submitted,
        Losing,
        Done,
    };

    struct Call {
        RecordId id;
        ClaimKey key;
        std::size_t agent = 0;
        IncarnationId target;
        CallState state = CallState::Appending;
        bool submitted = false;
        /// \brief The claim is to be voided when it is found in the log.
        bool abandoned = false;
    };

    struct Entry {
        ClaimTable table;
        std::map<int, Call> calls;
        int incarnation = 0;
        bool paused = false;
    };

    struct Agent {
        int number = 0;
        std::unique_ptr<ClaimGate> gate;
        /// \brief Admitted claims that were not sent to the endpoint yet, and executed ones without an outcome record.
        std::vector<std::pair<Offset, ClaimKey>> admitted;
        std::vector<std::pair<Offset, ClaimKey>> executed;
        bool paused = false;

        IncarnationId incarnation;
    };

    enum class MessageKind {
        Submit,
        Cancel,
    };

    struct Message {
        MessageKind kind;
        std::size_t entry;
        int entryIncarnation;
        int call;
        std::size_t agent;
        /// \brief Incarnation at the other end of the connection.
        IncarnationId connection;
        IncarnationId targetIncarnation;
        Offset claim;
        ClaimKey key;
    };

    void startAgent(Agent &agent);
    void startCall(Draw &draw);
    void readLog(Draw &draw);
    void progress(Draw &draw);
    void progressCall(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw);
    void decide(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw);
    void submit(Entry &entry, std::size_t entryIndex, int number, Call &call);
    void lose(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw);
    void deliver(Draw &draw);
    void deliverSubmit(const Message &message, Agent &agent, bool answerArrives);
    void deliverCancel(const Message &message, Agent &agent, bool answerArrives);
    void work(Draw &draw);
    void disturb(Draw &draw);
    void appendVoid(const ClaimKey &key, Offset claim);
    void sayNotRun(Call &call);
    void execute(Offset claim, const ClaimKey &key);
    Call *findCall(const Message &message);
    RecordId newId();
    bool faulty(ClaimFault fault) const
    {
        return fault_ == fault;
    }

    ClaimFault fault_;
    FakeLog log_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
    std::vector<Message> messages_;
    int ids_ = 0;
    int calls_ = 0;
    std::set<Offset> executedClaims_;
    std::map<ClaimKey, int> executionsOfKey_;
    std::set<RecordId> saidNotRun_;
};

} // namespace schedules
