#pragma once

#include <mimosatally/Core>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>

namespace mimosatally::internal
{

/// \brief What this process has observed of the store's endpoint records, and as of when.
///
/// That something is not there, such as a second version of a service, follows only from a read that was sent after the question arose and that saw all
/// records up to their end: the process may have stood still or been cut off for any time before. A read is dated by the time at which its request was sent,
/// since the answer may have waited while the process stood still.
class StoreObservation
{
public:
    /// \brief Least time between the start of a read and that of a further one that is requested.
    static constexpr Duration MIN_INTERVAL = Duration(25);
    /// \brief The same while the store does not answer.
    static constexpr Duration MIN_INTERVAL_AFTER_FAILURE = Duration(250);

    /// \brief A moment between two reads.
    class Mark
    {
    private:
        friend class StoreObservation;
        explicit Mark(std::uint64_t readsBegun)
            : readsBegun_(readsBegun)
        {
        }
        std::uint64_t readsBegun_;
    };

    explicit StoreObservation(boost::asio::io_context &io);

    /// \brief Sets what makes the reader read now instead of after its pause.
    void setReadNow(std::function<void()> readNow);
    /// \brief Sets what is called when a read has ended.
    void setReadEnded(std::function<void()> readEnded);

    /// \brief Records that the request of a read is sent. Reads follow one another.
    void beginRead(Time now);
    /// \brief Returns when the request of the current or last read was sent.
    [[nodiscard]] Time sentAt() const;
    /// \brief Records that the current read has seen all records up to their end and that they are applied.
    void recordSeenToEnd();
    /// \brief Records the end of the current read.
    void endRead(bool answered);
    /// \brief Records that the store has returned from an older copy. Registered endpoints may be missing in it, so until \a completeFrom no read counts.
    void recordRestore(Time completeFrom);

    /// \brief Returns the current moment, for isNewerThan().
    [[nodiscard]] Mark mark() const;
    /// \brief Returns whether a read whose request was sent after \a mark has seen all records.
    [[nodiscard]] bool isNewerThan(const Mark &mark) const;
    /// \brief Returns when the request of the last read that has seen all records was sent.
    [[nodiscard]] std::optional<Time> asOf() const;

    /// \brief Makes the reader send a read after \a mark, if none is under way, and no sooner than the least intervals allow.
    void request(const Mark &mark);

private:
    struct Read {
        std::uint64_t number = 0;
        Time sent = Time::min();
    };

    [[nodiscard]] Time nextRequestedRead(Time now) const;

    std::function<void()> readNow_;
    std::function<void()> readEnded_;
    Read current_;
    bool reading_ = false;
    bool answered_ = true;
    std::optional<Read> newest_;
    Time completeFrom_ = Time::min();
    bool requested_ = false;
    boost::asio::steady_timer timer_;
};

} // namespace mimosatally::internal
