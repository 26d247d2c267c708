#pragma once

#include "rolescope.h"

#include <mimosatally/Supervision>

#include <map>
#include <memory>

namespace mimosatally::internal
{

struct EntryState;

/// \brief Competes for the leases of the scopes in the entry's region and changes the roles of engines in the scopes whose lease it holds.
class RoleController
{
public:
    explicit RoleController(EntryState &entry);

    /// \brief Supervised task: runs rounds at a fixed interval until \a context stops.
    boost::asio::awaitable<void> run(TaskContext &context);

private:
    void updateScopes();
    /// \brief Runs one round: reads the stream `authority`, maintains the leases and plans role changes in the scopes whose lease is held.
    boost::asio::awaitable<void> runRound();
    void tick(Time now);
    boost::asio::awaitable<bool> readAuthority();
    boost::asio::awaitable<void> perform(RoleScope &scope, std::vector<LeaseAction> actions);
    [[nodiscard]] std::vector<ScopeEngine> enginesOf(const LeaseScope &scope, Time now) const;
    /// \brief Plans and starts a role change if the lease of the scope is held and no order of it is pending.
    void plan(RoleScope &scope, Time now);
    void start(RoleScope &scope, const RoleChange &change, Epoch epoch);

    EntryState &entry_;
    std::map<LeaseScope, std::shared_ptr<RoleScope>> scopes_;
    /// \brief Actions requested by the lease holders that perform() has not carried out yet.
    std::map<LeaseScope, std::vector<LeaseAction>> actions_;
};

} // namespace mimosatally::internal
