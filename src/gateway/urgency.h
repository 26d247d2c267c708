#pragma once

#include <mimosatally/Serving>

#include <optional>
#include <utility>
#include <vector>

namespace mimosatally::internal
{

/// \brief Ranks calls by the priority of their organisation and, among equals, by the priority of their route.
///
/// Priorities are compressed to the values that occur in the configuration, so that few distinct ones fit into the ten levels that engines know.
class UrgencyTable
{
public:
    /// \brief Largest number of ranks.
    static constexpr int MAX_RANKS = 10;

    UrgencyTable() = default;
    explicit UrgencyTable(const ServingConfiguration &configuration);

    /// \brief Returns the rank of a call; 0 is the most urgent. Priorities that the configuration does not contain get the next rank that it has.
    /// \param organisationPriority empty if the priority of the route alone decides.
    [[nodiscard]] int rankOf(std::optional<int> organisationPriority, int routePriority) const;

    [[nodiscard]] int rankCount() const;

    /// \brief Returns the level by which an engine admits a waiting call, 0 to 9, lowest first. The rank goes first, then the amount of prefill as far as
    /// levels are left. \param prefillTokens prompt tokens that the engine has to prefill.
    [[nodiscard]] int engineOrder(int rank, Tokens prefillTokens) const;

private:
    /// \brief Priorities of the organisation and of the route.
    using Priorities = std::pair<int, int>;

    /// \brief Sorted, without duplicates.
    std::vector<Priorities> urgencies_;
    /// \brief The route's priority does not count, since there are too many combinations.
    bool organisationOnly_ = false;
};

} // namespace mimosatally::internal
