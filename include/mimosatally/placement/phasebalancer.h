#pragma once

#include <mimosatally/Core>
#include <mimosatally/serving/endpointrecord.h>

#include <map>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief One engine as the balancer sees it.
struct BalancedEngine {
    EndpointId id;
    RegionId region;
    EnginePhase phase = EnginePhase::Decode;
    std::int64_t startedAt = 0;
};

/// \brief What the load of a service says about its phases.
struct PhasePressure {
    /// \brief Engines have work.
    bool serving = false;
    /// \brief Prompts wait at prefill engines.
    bool reading = false;
    /// \brief Generations wait at decode engines.
    bool generating = false;
};

/// \brief An engine is to work in another phase.
struct PhaseChange {
    EndpointId engine;
    EnginePhase phase = EnginePhase::Decode;
};

/// \brief Keeps the number of prefill engines of one service near a share of all.
///
/// A decode engine that changes lets its long generations end first and is out of service for many seconds, so a deviation of
/// one engine stays while calls are served. A prefill engine changes within the time of the change itself, so it does where one of few
/// decode engines is missing.
///
/// A fleet of more than LARGEST_FLEET_IN_ADVANCE engines changes only where work waits, some engines at a time: each change is
/// paid for, and a phase of many engines carries a burst until the next ones have changed.
///
/// An engine with an order under way gets no other one until its heartbeat shows the effect, or until the order can take effect
/// no more.
class PhaseBalancer
{
public:
    /// \brief An order without an answer may be carried out within this time.
    static constexpr Duration ORDER_LIFETIME = Duration(15000);
    /// \brief Pause after a rejection; orders are paid for, and an engine that is busy stays so for seconds.
    static constexpr Duration REJECTION_PAUSE = Duration(4000);

    /// \brief In a smaller fleet one engine is a large part, and a burst would be over before it has changed.
    static constexpr std::size_t LARGEST_FLEET_IN_ADVANCE = 48;
    /// \brief A larger fleet has at most this part of its engines under change.
    static constexpr std::size_t CHANGING_DIVISOR = 32;

    /// \param prefillShare part of the engines for prefill, 0 to 1.
    explicit PhaseBalancer(double prefillShare);

    void setPrefillShare(double share);

    /// \brief Part of the engines for prefill that the slots of the other engines can keep up with, at most \a mostPrefill.
    /// \param slots generations that one engine runs at once.
    [[nodiscard]] static double shareFor(double mostPrefill, int slots);

    /// \brief Changes that bring the engines to the share; counts them as under way.
    std::vector<PhaseChange> plan(const std::vector<BalancedEngine> &engines, PhasePressure pressure, Time now);

    /// \brief The engine has not got or not accepted the order; it may get another one after a pause.
    void rejected(const EndpointId &engine, Time now);

    /// \brief Number of prefill engines among \a total that the share asks for; at least one engine of each phase.
    [[nodiscard]] std::size_t prefillEngines(std::size_t total) const;

private:
    struct Pending {
        /// \brief Phase that the engine is expected to have.
        EnginePhase phase;
        std::int64_t startedAt;
        Time until;
        bool rejected = false;
    };

    /// \brief Whether \a prefill engines are near enough to \a wanted, or nothing calls for a change.
    [[nodiscard]] bool tolerates(std::size_t prefill, std::size_t wanted, std::size_t total, PhasePressure pressure) const;
    void endPending(const std::vector<BalancedEngine> &engines, Time now);
    /// \brief Engine whose change leaves the regions most alike.
    [[nodiscard]] const BalancedEngine *pick(const std::vector<BalancedEngine> &engines,
                                             EnginePhase from,
                                             const std::map<RegionId, double> &prefillParts) const;

    double prefillShare_;
    std::map<EndpointId, Pending> pending_;
};

} // namespace mimosatally
