#pragma once

#include <mimosatally/Core>

#include <algorithm>
#include <set>
#include <string>

namespace mimosatally::internal
{

/// \brief Values of the metrics label `organisation`. They are bounded, since each value adds a time series.
class OrganisationLabels
{
public:
    /// \brief Organisations with a value of their own; the others share the value `other`.
    static constexpr std::size_t MAX_LABELS = 32;

    [[nodiscard]] std::string labelOf(const OrganisationId &organisation)
    {
        if (named_.size() < MAX_LABELS) {
            named_.insert(organisation);
        }
        return named_.contains(organisation) ? quoted(organisation.value()) : "other";
    }

private:
    /// \brief Returns \a name without the characters that end a label's value.
    static std::string quoted(std::string name)
    {
        std::erase_if(name, [](char c) {
            return c == '"' || c == '\\' || c == '\n';
        });
        return name;
    }

    std::set<OrganisationId> named_;
};

} // namespace mimosatally::internal
