#pragma once

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

/// \brief What the answers of one endpoint have said about its request limit.
class EndpointLimit
{
public:
    /// \brief Records what an answer says. An answer without a limit ends the limit only if its request was sent after the last answer that named
    /// one: answers on different connections may overtake each other.
    LimitChange recordAnswer(const EndpointAnswer &answer, Time sentAt, Time now);

    /// \brief Returns the limit in force; empty if there is none.
    [[nodiscard]] const std::optional<RequestRate> &rate() const;

    /// \brief Returns when an answer last named the limit.
    [[nodiscard]] Time namedAt() const;

private:
    std::optional<RequestRate> rate_;
    Time namedAt_ = Time::min();
};

} // namespace mimosatally::internal
