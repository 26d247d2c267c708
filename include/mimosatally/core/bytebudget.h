#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

namespace mimosatally
{

class ByteReservation;

/// \brief Limit on the bytes that all readers of one kind hold together, so that no peer can exhaust the memory of the process.
///
/// A reader that would exceed the limit does not fail: the one that holds the most is told to stop, since a peer that sends without end must not end the calls
/// of others. The limit may be exceeded by one read of each reader until the next turn of the event loop.
class ByteBudget
{
public:
    /// \param limit in bytes.
    explicit ByteBudget(std::size_t limit);

    /// \brief Bytes that readers hold which were not told to stop.
    [[nodiscard]] std::size_t heldBytes() const;
    /// \brief Largest number of bytes held since the start.
    [[nodiscard]] std::size_t peakBytes() const;
    [[nodiscard]] std::size_t limit() const;
    /// \brief Number of readers that were told to stop.
    [[nodiscard]] std::uint64_t revocations() const;

private:
    friend class ByteReservation;

    void revokeLargest();

    std::size_t limit_;
    std::size_t held_ = 0;
    std::size_t peak_ = 0;
    std::uint64_t revocations_ = 0;
    std::set<ByteReservation *> reservations_;
};

/// \brief Bytes that one reader holds of a budget.
class ByteReservation
{
public:
    using RevokedHandler = std::function<void()>;

    /// \param onRevoked stops the reader, which then frees its bytes; called at most once, from hold() of this or another reservation.
    ByteReservation(ByteBudget &budget, RevokedHandler onRevoked);
    ~ByteReservation();
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

    /// \brief Sets the number of bytes that the reader holds.
    void hold(std::size_t bytes);

    /// \brief Sets whether the reader can be told to stop, which it can be at first; its bytes count in any case.
    void setRevocable(bool revocable);

    [[nodiscard]] bool isRevoked() const;
    [[nodiscard]] std::size_t bytes() const;

private:
    friend class ByteBudget;

    ByteBudget &budget_;
    RevokedHandler onRevoked_;
    std::size_t bytes_ = 0;
    bool revocable_ = true;
    bool revoked_ = false;
};

} // namespace mimosatally
