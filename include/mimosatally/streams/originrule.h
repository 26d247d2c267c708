#pragma once

#include <map>
#include <optional>
#include <string_view>

namespace mimosatally
{

/// \brief Least and most weight that a candidate had in some time.
struct WeightRange {
    double least = 0;
    double most = 0;
};

/// \brief Cost of a candidate for a key under weighted rendezvous hashing: the candidate with the lowest cost is chosen. It falls as the weight grows and does
/// not depend on other candidates, so a change of one weight concerns only the keys that move to or from its candidate. Infinite for a weight of 0.
///
/// All processes compute the same choice: the hash is SHA-256 of key and name. \return the exponential variate -ln(u) / weight
[[nodiscard]] double rendezvousCost(std::string_view key, std::string_view name, double weight);

/// \brief Returns the candidate with the lowest cost; empty if none has a weight.
template<class Id>
std::optional<Id> chooseByRendezvous(std::string_view key, const std::map<Id, double> &weights)
{
    if (weights.size() == 1 && weights.begin()->second > 0) {
        return weights.begin()->first;
    }
    std::optional<Id> chosen;
    double lowest = 0;
    for (const auto &[id, weight] : weights) {
        const double cost = weight > 0 ? rendezvousCost(key, id.value(), weight) : 0;
        if (weight > 0 && (!chosen || cost < lowest)) {
            chosen = id;
            lowest = cost;
        }
    }
    return chosen;
}

/// \brief Returns the candidate that is chosen whatever the weights are within their ranges; empty if there is none.
template<class Id>
std::optional<Id> certainChoice(std::string_view key, const std::map<Id, WeightRange> &ranges)
{
    std::map<Id, double> most;
    for (const auto &[id, range] : ranges) {
        most[id] = range.most;
    }
    const std::optional<Id> candidate = chooseByRendezvous(key, most);
    if (!candidate) {
        return std::nullopt;
    }
    // The candidate at its least weight against all others at their most.
    most[*candidate] = ranges.at(*candidate).least;
    return chooseByRendezvous(key, most) == candidate ? candidate : std::nullopt;
}

} // namespace mimosatally
