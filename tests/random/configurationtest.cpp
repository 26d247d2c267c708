#include "configurationmodel.h"
#include "fixedseed.h"

#include <catch2/catch.hpp>

using namespace mimosatally;
using namespace mimosatally::testing;

namespace
{
constexpr std::size_t READER_COUNT = 5;
constexpr std::size_t INSTANCE_COUNT = 4;
constexpr int RUNS = 100;
constexpr int MAX_STEPS = 400;

/// \brief One step; \a a and \a b choose among readers, documents and messages.
struct Step {
    std::uint8_t kind;
    std::uint8_t a;
    std::uint8_t b;
};

/// \brief Called by RapidCheck, through argument-dependent lookup, to print a counterexample.
void showValue(const Step &step, std::ostream &out)
{
    out << '{' << step.kind % 16 << ',' << int(step.a) << ',' << int(step.b) << '}';
}

struct Counts {
    std::size_t steps = 0;
    std::size_t accepted = 0;
    std::size_t voided = 0;
    std::size_t applied = 0;
    std::size_t missingRecords = 0;
};

/// \brief Runs steps and asserts the invariants after each.
class Simulation
{
public:
    Simulation(const SampleOperator &signer, Counts &counts)
        : signer_(signer)
        , counts_(counts)
        , log_(signer.description())
        , versionAt_(1, ConfigurationVersion(-1))
    {
        for (std::size_t i = 0; i < READER_COUNT; ++i) {
            readers_.emplace_back(signer.description());
        }
    }

    void run(const Step &step)
    {
        ++now_;
        counts_.steps += 1;
        Reader &reader = readers_[step.a % READER_COUNT];
        switch (step.kind % 16) {
        case 0:
        case 1:
            publish(reader, step.b);
            break;
        case 2:
            append(signer_.instanceRecord(newId(), static_cast<InstanceAction>(step.b % 3), "i" + std::to_string(step.a % (INSTANCE_COUNT + 1))));
            break;
        case 3:
            repeatAppend(step.b);
            break;
        case 4:
            // A snapshot writer has read the log to its end; some snapshots are appended much later.
            catchUp(reader);
            pendingSnapshots_.push_back(reader.replica.log().snapshot(RecordId(newId())));
            break;
        case 5:
            appendSnapshot(step.b);
            break;
        case 6:
            if (step.b % 8 == 0) {
                log_.firstKept = std::max(log_.firstKept, log_.size() - 1 - step.a % 24);
            }
            break;
        case 7:
            reader = Reader(signer_.description());
            break;
        case 8:
        case 9:
        case 10:
            startRead(reader, step.b);
            break;
        case 11:
        case 12:
            deliverRead(reader);
            break;
        case 13:
            sendList(reader, readers_[step.b % READER_COUNT], step.b);
            break;
        default:
            deliverList(reader, step.b);
        }
        versionAt_.push_back(log_.reference.state().version);
        checkInvariants();
    }

    /// \brief Asserts that every reader catches up, except those that report records removed by retention as missing.
    void finish()
    {
        for (Reader &reader : readers_) {
            catchUp(reader);
            counts_.missingRecords += reader.replica.isMissingRecords() ? 1 : 0;
            if (!reader.replica.isMissingRecords()) {
                RC_ASSERT(ModelLog::describe(reader.replica.state()) == log_.stateAfter(log_.size()));
            }
        }
    }

private:
    void catchUp(Reader &reader)
    {
        bool reachedEnd = false;
        while (!reachedEnd) {
            startRead(reader, 6);
            reachedEnd = reader.pendingRead->records.empty();
            deliverRead(reader);
        }
    }

    void append(const std::string &payload)
    {
        const ConfigurationVersion before = log_.reference.state().version;
        log_.append(payload);
        appended_.push_back(payload);
        (log_.reference.state().version == before ? counts_.voided : counts_.accepted) += 1;
    }

    /// \brief Publishes on the base that \a reader knows, which may be stale; sometimes with an invalid document or signature.
    void publish(const Reader &reader, std::uint8_t choice)
    {
        // Publishers read the log to its end before most publishes, so that some bases are stale and some are not.
        const ConfigurationState &state = choice % 4 == 1 ? reader.replica.state() : log_.reference.state();
        Configuration next = samples::sampleConfiguration(signer_.description(), 1 + choice % 3, INSTANCE_COUNT - choice % 2);
        next.contracts.front().priority = static_cast<int>(nextId_ % 100);
        const std::int64_t base = state.documentOffset.count();
        const SampleOperator publisher = choice % 32 == 31 ? SampleOperator() : signer_;
        if (choice % 16 == 15) {
            append(publisher.publishRecord(newId(), base, "unknown = 1"));
        } else if (choice % 2 == 0 && base >= 0) {
            append(publisher.publishRecord(newId(), base, formatChange(state.configuration, next), DocumentKind::Change));
        } else {
            append(publisher.publishRecord(newId(), base, formatConfiguration(next)));
        }
    }

    /// \brief Appends a record again, as a publisher does that did not receive the answer to its append.
    void repeatAppend(std::uint8_t choice)
    {
        if (!appended_.empty()) {
            append(appended_[appended_.size() - 1 - choice % std::min<std::size_t>(appended_.size(), 8)]);
        }
    }

    void appendSnapshot(std::uint8_t choice)
    {
        if (!pendingSnapshots_.empty()) {
            log_.append(pendingSnapshots_[pendingSnapshots_.size() - 1 - choice % std::min<std::size_t>(pendingSnapshots_.size(), 3)]);
        }
    }

    void startRead(Reader &reader, std::uint8_t limit) const
    {
        const Offset requestedOffset = reader.replica.nextReadOffset();
        reader.pendingRead = Message {true, requestedOffset, log_.read(requestedOffset, 1 + limit % 7), {}, time()};
    }

    void deliverRead(Reader &reader)
    {
        if (reader.pendingRead) {
            const Message message = *std::exchange(reader.pendingRead, std::nullopt);
            countApplied(reader.replica.applyFromLog(message.requestedOffset, message.records, message.records.empty(), message.sentAt));
        }
    }

    /// \brief Sends a list for the version that the sender assumes the receiver to have; the last record may get lost.
    void sendList(Reader &receiver, const Reader &sender, std::uint8_t choice) const
    {
        const ConfigurationVersion assumedVersion = choice % 4 == 0 ? readers_[choice / 4 % READER_COUNT].lastVersion : receiver.replica.state().version;
        std::vector<ConfigurationRecord> records = sender.replica.recordsFor(assumedVersion, time());
        if (choice % 5 == 0 && records.size() > 1) {
            records.pop_back();
        }
        receiver.pendingLists.push_back({false, {}, std::move(records), sender.replica.state().version, time()});
    }

    /// \brief Delivers one of the lists in flight, and sometimes keeps it, so that it is delivered again.
    void deliverList(Reader &reader, std::uint8_t choice)
    {
        if (reader.pendingLists.empty()) {
            return;
        }
        const std::size_t index = choice % reader.pendingLists.size();
        const Message message = reader.pendingLists[index];
        // The list has the age of the confirmation at the time of sending, so it is applied as of that time.
        countApplied(reader.replica.applyFromPeer(message.records, message.peerVersion, message.sentAt));
        if (choice % 3 != 0) {
            reader.pendingLists.erase(reader.pendingLists.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void countApplied(const std::vector<AppliedRecord> &applied)
    {
        for (const AppliedRecord &record : applied) {
            counts_.applied += record.result.isAccepted() ? 1 : 0;
        }
    }

    void checkInvariants()
    {
        for (const auto &[base, accepted] : log_.acceptedPerBase) {
            RC_ASSERT(accepted <= 1);
        }
        for (const auto &[id, accepted] : log_.acceptedPerId) {
            RC_ASSERT(accepted <= 1);
        }
        for (Reader &reader : readers_) {
            const ConfigurationReplica &replica = reader.replica;
            RC_ASSERT(replica.state().version >= reader.lastVersion);
            reader.lastVersion = replica.state().version;
            RC_ASSERT(ModelLog::describe(replica.state()) == log_.stateAfter(replica.log().nextOffset().count()));
            if (replica.confirmedAt()) {
                RC_ASSERT(replica.state().version >= versionAt_[static_cast<std::size_t>(replica.confirmedAt()->time_since_epoch().count())]);
            }
        }
    }

    [[nodiscard]] Time time() const
    {
        return Time(Duration(now_));
    }

    std::string newId()
    {
        return "r" + std::to_string(nextId_++);
    }

    const SampleOperator &signer_;
    Counts &counts_;
    ModelLog log_;
    std::vector<Reader> readers_;
    std::vector<std::string> appended_;
    std::vector<std::string> pendingSnapshots_;
    /// \brief Version of the reference at the end of each step.
    std::vector<ConfigurationVersion> versionAt_;
    std::int64_t now_ = 0;
    std::size_t nextId_ = 0;
};

rc::Gen<std::vector<Step>> steps()
{
    const auto byte = rc::gen::inRange<int>(0, 256);
    const auto step = rc::gen::map(rc::gen::tuple(byte, byte, byte), [](const std::tuple<int, int, int> &values) {
        const auto [kind, a, b] = values;
        return Step {static_cast<std::uint8_t>(kind), static_cast<std::uint8_t>(a), static_cast<std::uint8_t>(b)};
    });
    return rc::gen::resize(MAX_STEPS, rc::gen::container<std::vector<Step>>(step));
}
} // namespace

// Guards against readers that disagree, versions that revert, two publishes accepted on one base, and a confirmation that
// is given although the log had a newer version.
TEST_CASE("Readers of the configuration stream agree under races, lost answers, retention and reordered peer lists", "[config]")
{
    const SampleOperator signer;
    Counts counts;
    const bool passed = holds("configuration stream", 20260, RUNS, [&] {
        Simulation simulation(signer, counts);
        for (const Step &step : *steps()) {
            simulation.run(step);
        }
        simulation.finish();
    });
    WARN(RUNS << " runs, " << counts.steps << " steps, " << counts.accepted << " records accepted, " << counts.voided << " void, " << counts.applied
              << " applied by readers, " << counts.missingRecords << " readers without usable records at the end");
    CHECK(passed);
    CHECK(counts.steps > RUNS * 10);
    CHECK(counts.accepted > RUNS);
    CHECK(counts.voided > RUNS);
}
