#include <mimosatally/Claims>

namespace mimosatally
{

ClaimGate::ClaimGate(IncarnationId incarnation)
    : incarnation_(std::move(incarnation))
{
}

ClaimAdmission ClaimGate::admit(int partition, Offset claim, const IncarnationId &targetIncarnation)
{
    if (targetIncarnation != incarnation_) {
        return ClaimAdmission::OtherIncarnation;
    }
    const auto kept = firstKept_.find(partition);
    if (kept != firstKept_.end() && claim < kept->second) {
        return ClaimAdmission::AlreadyRun;
    }
    const auto [it, isNew] = claims_.try_emplace(ClaimId {partition, claim}, State::Admitted);
    if (isNew) {
        return ClaimAdmission::Run;
    }
    return it->second == State::Admitted ? ClaimAdmission::AlreadyRun : ClaimAdmission::Renounced;
}

bool ClaimGate::renounce(int partition, Offset claim)
{
    const auto kept = firstKept_.find(partition);
    if (kept != firstKept_.end() && claim < kept->second) {
        return false;
    }
    return claims_.try_emplace(ClaimId {partition, claim}, State::Renounced).first->second == State::Renounced;
}

void ClaimGate::pruneBefore(int partition, Offset firstKept)
{
    Offset &kept = firstKept_[partition];
    kept = std::max(kept, firstKept);
    std::erase_if(claims_, [&](const auto &claim) {
        return claim.first.partition == partition && claim.first.offset < kept;
    });
}

} // namespace mimosatally
