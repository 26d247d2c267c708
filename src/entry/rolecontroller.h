#pragma once

#include "rolescope.h"

#include <mimosatally/Supervision>

#include <map>
#include <memory>

namespace mimosatally::internal
{

struct EntryState;

/// \brief Competes for the leases of the scopes in the entry's region, and changes roles of engines while it holds one.
class RoleController
{
public:
    explicit RoleController(EntryState &entry);

    /// \brief Task of the supervisor.
    boost::asio::awaitable<void> run(TaskContext &context);

private:
    void updateScopes();
    /// \brief One round: reads stream `authority`, keeps the leases and plans in the scopes that are held.
    boost::asio::awaitable<void> lead();
    void tick(Time now);
    boost::asio::awaitable<bool> readAuthority();
    boost::asio::awaitable<void> perform(RoleScope &scope, std::vector<LeaseAction> actions);
    [[nodiscard]] std::vector<ScopeEngine> enginesOf(const LeaseScope &scope, Time now) const;
    /// \brief Plans and starts a role change if the lease of the scope is held.
    void plan(RoleScope &scope, Time now);
    void start(RoleScope &scope, const RoleChange &change, Epoch epoch);

    EntryState &entry_;
    std::map<LeaseScope, std::shared_ptr<RoleScope>> scopes_;
    /// \brief Actions that the leases asked for and that perform() has not carried out.
    std::map<LeaseScope, std::vector<LeaseAction>> actions_;
};

} // namespace mimosatally::internal
