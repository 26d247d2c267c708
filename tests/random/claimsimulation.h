#pragma once

#include "fakelog.h"

#include <mimosatally/Claims>

#include <map>
#include <memory>

namespace schedules
{

using namespace mimosatally;

/// \brief Rule that the simulation breaks, to show that the invariants detect it.
enum class ClaimFault {
    None,
    GateLosesState,
    GateIgnoresIncarnation,
    VoidWithoutConfirmation,
    LoserSubmits,
    SubmitAfterNotRun,
    NotRunWithoutConfirmation,
    VoidAfterSubmit,
};

/// \brief Simulation of entries with a ClaimTable and agents with a ClaimGate on a fake log and a fake network.
///
/// A message belongs to a connection, hence to one incarnation of an agent: it is delivered to that one, late, more than once or never.
class ClaimSimulation
{
public:
    explicit ClaimSimulation(ClaimFault fault);

    /// \brief Runs one step, whose choices are drawn from \a seed.
    void step(std::uint32_t seed);

    /// \brief Lets every entry read the whole log, and checks that all tables agree and that no record contradicts another.
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
        Lost,
        Done,
    };

    struct Call {
        RecordId id;
        ClaimKey key;
        std::size_t agent = 0;
        IncarnationId target;
        CallState state = CallState::Appending;
        bool submitted = false;
        /// \brief The claim is to be voided when it is read from the log.
        bool abandoned = false;
    };

    struct Entry {
        ClaimTable table;
        std::map<int, Call> calls;
        int incarnation = 0;
        bool paused = false;
    };

    struct Agent {
        int incarnationNumber = 0;
        std::unique_ptr<ClaimGate> gate;
        /// \brief Admitted claims that were not sent to the endpoint yet.
        std::vector<std::pair<Offset, ClaimKey>> admitted;
        /// \brief Executed claims without an outcome record.
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
        /// \brief Agent incarnation at the other end of the connection.
        IncarnationId connectedTo;
        IncarnationId targetIncarnation;
        Offset claim;
        ClaimKey key;
    };

    void startAgent(Agent &agent);
    void startCall(Draw &draw);
    void readLog(Draw &draw);
    void progressRandomCall(Draw &draw);
    void progressCall(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw);
    void actOnVerdict(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw);
    void submit(Entry &entry, std::size_t entryIndex, int number, Call &call);
    void cancelWinner(Entry &entry, std::size_t entryIndex, int number, Call &call, Draw &draw);
    void deliver(Draw &draw);
    void deliverSubmit(const Message &message, Agent &agent, bool answerArrives);
    void deliverCancel(const Message &message, Agent &agent, bool answerArrives);
    void stepAgent(Draw &draw);
    void injectFault(Draw &draw);
    void appendVoid(const ClaimKey &key, Offset claim);
    void reportNotRun(Call &call);
    void execute(Offset claim, const ClaimKey &key);
    Call *findCall(const Message &message);
    RecordId newId();
    bool hasFault(ClaimFault fault) const
    {
        return fault_ == fault;
    }

    ClaimFault fault_;
    FakeLog log_;
    std::vector<Entry> entries_;
    std::vector<Agent> agents_;
    std::vector<Message> messages_;
    int idCount_ = 0;
    int callCount_ = 0;
    std::set<Offset> executedClaims_;
    std::map<ClaimKey, int> executionsByKey_;
    std::set<RecordId> reportedNotRun_;
};

} // namespace schedules
