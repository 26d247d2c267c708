#pragma once

#include "claimrecord.h"

#include <map>

namespace mimosatally
{

/// \brief The agent's decision about a submit of a claimed call.
enum class ClaimAdmission {
    Run,
    /// \brief The claim is running or has run in this incarnation.
    AlreadyRun,
    /// \brief The agent has confirmed that the claim never starts.
    Renounced,
    /// \brief The claim is addressed to another incarnation.
    OtherIncarnation,
};

/// \brief Agent side of at-most-once execution: admits each claim at most once within one incarnation.
class ClaimGate
{
public:
    explicit ClaimGate(IncarnationId incarnation);

    ClaimAdmission admit(int partition, Offset claim, const IncarnationId &targetIncarnation);

    /// \brief Guarantees that a claim never starts. \return false if it has been admitted or pruned.
    bool renounce(int partition, Offset claim);

    /// \brief Drops claims below \a firstKept of \a partition; admit() refuses them from then on.
    void pruneBefore(int partition, Offset firstKept);

private:
    enum class State {
        Admitted,
        Renounced,
    };

    struct ClaimId {
        int partition;
        Offset offset;

        auto operator<=>(const ClaimId &) const = default;
    };

    IncarnationId incarnation_;
    std::map<ClaimId, State> claims_;
    std::map<int, Offset> firstKept_;
};

} // namespace mimosatally
