#pragma once

#include "decayingsum.h"

#include <mimosatally/Core>

#include <limits>
#include <map>

namespace mimosatally::internal
{

/// \brief What an organisation has been served, compared with its share.
enum class ShareStanding {
    /// \brief It asks for less than its share.
    Below,
    /// \brief It gets about its share, or the calls are too few to tell.
    Within,
    /// \brief It has been served more than its share by more than a mean call.
    Above,
};

/// \brief Max-min fair shares of the organisations of one service, in tokens of the last seconds.
///
/// An organisation that asks for less than an equal share may have all it asks for; the rest is shared by the others. Performs no I/O.
class FairShare
{
public:
    /// \brief Organisations beyond this number are not tracked and count as within their share, which bounds the memory to some megabytes.
    static constexpr std::size_t MAX_ORGANISATIONS = 16'384;

    void recordOffered(const OrganisationId &organisation, double tokens, Time now);
    void recordServed(const OrganisationId &organisation, double tokens, Time now);

    [[nodiscard]] ShareStanding standingOf(const OrganisationId &organisation, Time now);

    [[nodiscard]] std::size_t size() const;

private:
    struct Use;

    [[nodiscard]] Use *find(const OrganisationId &organisation, Time now);
    void updateLevel(Time now);

    /// \brief Decayed tokens of one organisation.
    struct Use {
        DecayingSum offered;
        DecayingSum served;
        Time usedAt;
    };

    std::map<OrganisationId, Use> uses_;
    DecayingSum servedTokens_ {TIME_CONSTANT};
    DecayingSum servedCalls_ {TIME_CONSTANT};
    double level_ = std::numeric_limits<double>::infinity();
    Time levelUpdatedAt_ = Time::min();

    static constexpr Duration TIME_CONSTANT = Duration(4000);
};

} // namespace mimosatally::internal
