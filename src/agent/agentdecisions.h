#pragma once

#include <mimosatally/Audit>
#include <mimosatally/Core>

#include <functional>

namespace mimosatally::internal
{

/// \brief Appends the agent's decisions to its audit chain, each with the configuration version in force.
class AgentDecisions
{
public:
    /// \param onAppended called after each record, for example to ship a full batch early.
    AgentDecisions(DecisionChain &chain, std::function<void()> onAppended)
        : chain_(chain)
        , onAppended_(std::move(onAppended))
    {
    }

    void setVersion(ConfigurationVersion version)
    {
        version_ = version;
    }

    void setUnconfirmed(bool unconfirmed)
    {
        unconfirmed_ = unconfirmed;
    }

    [[nodiscard]] ConfigurationVersion version() const
    {
        return version_;
    }

    /// \param at the `now` of the recorded call, so that a replay computes with the same time.
    template<class Inputs>
    void add(DecisionKind kind, const RequestId &request, const CustomerId &customer, Time at, const Inputs &inputs)
    {
        chain_.append({kind, request, customer, version_, at, toJson(inputs), unconfirmed_});
        onAppended_();
    }

private:
    DecisionChain &chain_;
    std::function<void()> onAppended_;
    ConfigurationVersion version_ = ConfigurationVersion(-1);
    bool unconfirmed_ = false;
};

} // namespace mimosatally::internal
