#pragma once

#include "requestpacer.h"

#include <mimosatally/routing/phaserouter.h>

#include <array>
#include <optional>

namespace mimosatally::internal
{

/// \brief Number of requests sent in the last four seconds, to within half a second.
class RecentSends
{
public:
    void add(Time now);
    [[nodiscard]] int count(Time now) const;

private:
    static constexpr Duration BUCKET = Duration(500);
    static constexpr std::size_t BUCKETS = 8;

    struct Bucket {
        std::int64_t number = -1;
        int sends = 0;
    };

    static std::int64_t bucketNumber(Time time);

    std::array<Bucket, BUCKETS> buckets_ {};
};

/// \brief Request limit that an endpoint has named in its answers, and the part of it that this process may use.
///
/// The limit holds for all processes together, and each decides alone. Each process paces its calls at the limit divided by the number of
/// processes that it knows.
class EndpointLimit
{
public:
    /// \brief Records what an answer says. An answer without a limit ends the limit only if its request was sent after the last answer that named
    /// one: answers on different connections may overtake each other.
    /// \param phase see RequestPacer.
    LimitChange recordAnswer(const EndpointAnswer &answer, Time sentAt, double phase, Time now);

    /// \brief Sets the number of processes that share the limit, this one included.
    void setProcessCount(int count, Time now);

    /// \brief Returns the limit in force; empty if there is none.
    [[nodiscard]] const std::optional<RequestRate> &rate() const;

    /// \brief Returns when an answer last named the limit.
    [[nodiscard]] Time namedAt() const;

    /// \brief Returns the part of the limit that this process may use, in requests per second; zero if there is no limit.
    [[nodiscard]] double ownPerSecond() const;

    /// \brief Returns whether a request may be sent now.
    [[nodiscard]] bool permits(Time now) const;

    /// \brief Returns the time until a request may be sent.
    [[nodiscard]] Duration timeToPermit(Time now) const;

    /// \brief Records a request that is sent, or that is going to be sent after the prefill of its prompt.
    void take(Time now);

    /// \brief Takes back a request that was recorded at \a takenAt and not sent.
    void giveBack(Time takenAt, Time now);

private:
    [[nodiscard]] double sharePerSecond() const;

    std::optional<RequestRate> rate_;
    Time namedAt_ = Time::min();
    int processCount_ = 1;
    std::optional<RequestPacer> pacer_;
};

} // namespace mimosatally::internal
