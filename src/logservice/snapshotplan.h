#pragma once

#include <mimosatally/Core>

#include <optional>
#include <random>

namespace mimosatally
{

/// \brief Decides when an entry writes a snapshot: after a number of records or an age, at a random time within a spread, and
/// not at all if another entry has written one meanwhile.
class SnapshotPlan
{
public:
    SnapshotPlan(std::int64_t everyRecords, Duration age, Duration spread, Time start, std::mt19937_64 &random)
        : everyRecords_(everyRecords)
        , age_(age)
        , spread_(spread)
        // The age of the last snapshot is not known at the start. A random part of it keeps a fleet whose processes are
        // restarted often from never writing one.
        , lastSeenAt_(start - draw(age, random))
    {
    }

    /// \param nextOffset end of the stream. \param covered offset that the newest snapshot covers, -1 if there is none.
    bool isDue(Offset nextOffset, Offset covered, Time now, std::mt19937_64 &random)
    {
        if (covered != lastCovered_) {
            lastCovered_ = covered;
            lastSeenAt_ = now;
            writeAt_.reset();
        }
        const bool isWanted = nextOffset.count() - covered.count() > everyRecords_ || now - lastSeenAt_ >= age_;
        if (!isWanted) {
            return false;
        }
        if (!writeAt_) {
            writeAt_ = now + draw(spread_, random);
        }
        if (now < *writeAt_) {
            return false;
        }
        // If the append fails or its answer is lost, the next attempt comes after another spread.
        writeAt_ = now + spread_ + draw(spread_, random);
        return true;
    }

private:
    static Duration draw(Duration longest, std::mt19937_64 &random)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random));
    }

    std::int64_t everyRecords_;
    Duration age_;
    Duration spread_;
    Time lastSeenAt_;
    Offset lastCovered_ = Offset(-1);
    std::optional<Time> writeAt_;
};

} // namespace mimosatally
