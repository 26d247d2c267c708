#pragma once

#include "requestpacer.h"

#include <mimosatally/routing/phaserouter.h>

#include <array>
#include <map>
#include <optional>

namespace mimosatally::internal
{

/// \brief Number of requests sent in the last four seconds, to within half a second.
class RecentSends
{
public:
    void add(Time now);
    [[nodiscard]] int count(Time now) const;
    /// \brief Returns the number of the last second, or of up to half a second more.
    [[nodiscard]] int countOfLastSecond(Time now) const;

private:
    static constexpr Duration BUCKET = Duration(500);
    static constexpr std::size_t BUCKETS = 8;

    struct Bucket {
        std::int64_t number = -1;
        int sends = 0;
    };

    static std::int64_t bucketNumber(Time time);
    [[nodiscard]] int countOfBuckets(std::size_t buckets, Time now) const;

    std::array<Bucket, BUCKETS> buckets_ {};
};

/// \brief Request limit that an endpoint has named in its answers, and the part of it that this process may use.
///
/// The limit holds for all processes together, and each decides alone. Each process paces its calls at the limit divided by the number of
/// processes that it knows, plus its share of what others have reported as unused. A process that has lent its part still uses it as soon as it
/// needs it, so all together can exceed the limit by what is lent, for LOAN_TIME after the lender's last report at most.
class EndpointLimit
{
public:
    /// \brief Age up to which a report of an unused part is used.
    static constexpr Duration LOAN_TIME = Duration(1000);
    /// \brief Time for which a limit that only a peer has told is kept after the peer's last notice.
    static constexpr Duration PEER_LIMIT_TIME = Duration(3000);

    /// \brief Records what an answer says. An answer without a limit ends the limit only if its request was sent after the last answer that named
    /// one: answers on different connections may overtake each other.
    /// \param phase see RequestPacer.
    LimitChange recordAnswer(const EndpointAnswer &answer, Time sentAt, double phase, Time now);

    /// \brief Sets the number of processes that share the limit, this one included, and applies the loans of others.
    /// \param ownSends own requests of the last second.
    void update(int processCount, int ownSends, Time now);

    /// \brief Returns what this process does not use of its part; zero if the part is too small to be lent.
    [[nodiscard]] RequestRate unused(int ownSends) const;

    /// \brief Records the notice of another process. If no answer has told this process of the limit since, it keeps the limit for
    /// PEER_LIMIT_TIME after the last such notice.
    void recordNotice(std::uint64_t peer, const LimitNotice &notice, double phase, Time now);

    /// \brief Returns whether the limit is known only from another process.
    [[nodiscard]] bool isFromPeer() const;

    /// \brief Returns the limit in force; empty if there is none.
    [[nodiscard]] std::optional<RequestRate> rate() const;

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
    /// \brief A limit in force.
    struct Limit {
        Limit(RequestRate limitRate, RequestPacer limitPacer)
            : rate(limitRate)
            , pacer(limitPacer)
        {
        }

        RequestRate rate;
        RequestPacer pacer;
    };

    struct Loan {
        double perSecond = 0;
        Time receivedAt;
    };

    /// \brief Limits the memory that forged notices can take up.
    static constexpr std::size_t MAX_LOANS = 1024;

    void end();
    LimitChange setLimit(RequestRate rate, double phase, Time now);
    /// \brief Returns the part of each process without loans, in requests per second.
    [[nodiscard]] double sharePerSecond(RequestRate rate) const;
    /// \brief Returns this process's share of the loans that have not expired. \param share part of each process without loans.
    [[nodiscard]] double borrowedPerSecond(double share, Time now) const;

    void recordLoan(std::uint64_t peer, RequestRate unused, Time now);

    std::optional<Limit> limit_;
    Time namedAt_ = Time::min();
    /// \brief Last answer of the endpoint, with or without a limit.
    Time answeredAt_ = Time::min();
    /// \brief End of a limit that is known only from another process; empty for others.
    std::optional<Time> peerLimitUntil_;
    int processCount_ = 1;
    std::map<std::uint64_t, Loan> loans_;
};

} // namespace mimosatally::internal
