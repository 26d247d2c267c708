#pragma once

#include <mimosatally/Core>

#include <optional>
#include <random>

namespace mimosatally
{

/// \brief Decides when an entry writes a snapshot: after a number of records or at an age of the last snapshot, then after a
/// random delay, and not at all if another entry has written one in the meantime.
class SnapshotPlan
{
public:
    SnapshotPlan(std::int64_t maxRecords, Duration maxAge, Duration jitter, Time start, std::mt19937_64 &random)
        : maxRecords_(maxRecords)
        , maxAge_(maxAge)
        , jitter_(jitter)
        // The age of the last snapshot is unknown at the start, so a random one is assumed. If 0 were assumed, a fleet
        // whose processes are restarted often would never write a snapshot.
        , lastSnapshotAt_(start - randomDuration(maxAge, random))
    {
    }

    /// \param nextOffset end of the stream. \param coveredOffset offset that the newest snapshot covers, -1 if there is none.
    bool isDue(Offset nextOffset, Offset coveredOffset, Time now, std::mt19937_64 &random)
    {
        if (coveredOffset != lastCoveredOffset_) {
            lastCoveredOffset_ = coveredOffset;
            lastSnapshotAt_ = now;
            writeAt_.reset();
        }
        const bool isNeeded = nextOffset.count() - coveredOffset.count() > maxRecords_ || now - lastSnapshotAt_ >= maxAge_;
        if (!isNeeded) {
            return false;
        }
        if (!writeAt_) {
            writeAt_ = now + randomDuration(jitter_, random);
        }
        if (now < *writeAt_) {
            return false;
        }
        // If the append fails or its answer is lost, the next attempt is made after another delay.
        writeAt_ = now + jitter_ + randomDuration(jitter_, random);
        return true;
    }

private:
    static Duration randomDuration(Duration maximum, std::mt19937_64 &random)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(0, maximum.count())(random));
    }

    std::int64_t maxRecords_;
    Duration maxAge_;
    Duration jitter_;
    Time lastSnapshotAt_;
    Offset lastCoveredOffset_ = Offset(-1);
    std::optional<Time> writeAt_;
};

} // namespace mimosatally
