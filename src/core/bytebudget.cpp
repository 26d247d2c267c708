#include <mimosatally/Core>

#include <algorithm>
#include <utility>

namespace mimosatally
{

ByteBudget::ByteBudget(std::size_t limit)
    : limit_(limit)
{
}

std::size_t ByteBudget::heldBytes() const
{
    return held_;
}

std::size_t ByteBudget::peakBytes() const
{
    return peak_;
}

std::size_t ByteBudget::limit() const
{
    return limit_;
}

std::uint64_t ByteBudget::revocations() const
{
    return revocations_;
}

void ByteBudget::revokeLargest()
{
    ByteReservation *largest = nullptr;
    for (ByteReservation *reservation : reservations_) {
        const bool canStop = reservation->revocable_ && !reservation->revoked_;
        if (canStop && (largest == nullptr || reservation->bytes_ > largest->bytes_)) {
            largest = reservation;
        }
    }
    if (largest == nullptr) {
        return;
    }
    ++revocations_;
    largest->revoked_ = true;
    held_ -= largest->bytes_;
    largest->onRevoked_();
}

ByteReservation::ByteReservation(ByteBudget &budget, RevokedHandler onRevoked)
    : budget_(budget)
    , onRevoked_(std::move(onRevoked))
{
    budget_.reservations_.insert(this);
}

ByteReservation::~ByteReservation()
{
    hold(0);
    budget_.reservations_.erase(this);
}

void ByteReservation::hold(std::size_t bytes)
{
    const std::size_t before = std::exchange(bytes_, bytes);
    if (revoked_) {
        return;
    }
    budget_.held_ = budget_.held_ - before + bytes;
    budget_.peak_ = std::max(budget_.peak_, budget_.held_);
    if (bytes > before && budget_.held_ > budget_.limit_) {
        budget_.revokeLargest();
    }
}

void ByteReservation::setRevocable(bool revocable)
{
    revocable_ = revocable;
}

bool ByteReservation::isRevoked() const
{
    return revoked_;
}

std::size_t ByteReservation::bytes() const
{
    return bytes_;
}

} // namespace mimosatally
