#pragma once

#include <mimosatally/Core>
#include <mimosatally/serving/endpointrecord.h>

#include <map>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief State of one engine as the balancer needs it.
struct BalancedEngine {
    EndpointId id;
    RegionId region;
    EnginePhase phase = EnginePhase::Decode;
    std::int64_t startedAt = 0;
    /// \brief Learned speed relative to the other engines; 1 if it is not known.
    double speed = 1;
};

/// \brief Load of a service by phase.
struct PhasePressure {
    /// \brief Engines have work.
    bool serving = false;
    /// \brief Requests wait for prefill at prefill engines.
    bool prefillWaiting = false;
    /// \brief Requests wait for decode at decode engines.
    bool decodeWaiting = false;
};

/// \brief Change of one engine to another phase.
struct PhaseChange {
    EndpointId engine;
    EnginePhase phase = EnginePhase::Decode;
};

/// \brief Keeps the number of prefill engines of one service near a share of all.
///
/// A decode engine finishes its long generations before it changes and is out of service for many seconds, so a deviation of one
/// engine is tolerated while calls are served. A prefill engine is out of service only for the change itself, so it does change if
/// one of only a few decode engines is missing.
///
/// In a fleet of more than MAX_PROACTIVE_FLEET_SIZE engines, engines change only to a phase in which requests wait, and only a few at
/// a time: each change has a cost, and a phase with many engines can absorb a burst until more have changed.
///
/// Speeds decide only which engine of a region changes: the quickest one to prefill, the slowest one to decode. They are no reason for a change,
/// since a change takes an engine out of service for seconds.
///
/// An engine with a pending order gets no other order until its heartbeat shows the effect or the order has expired.
class PhaseBalancer
{
public:
    /// \brief Time within which an order without an answer may still be carried out.
    static constexpr Duration ORDER_LIFETIME = Duration(15000);
    /// \brief Back-off after a rejection; each order has a cost, and a busy engine stays busy for seconds.
    static constexpr Duration REJECTION_BACKOFF = Duration(4000);

    /// \brief Largest fleet in which engines change before requests wait: one engine is a large part of such a fleet, and a burst would
    /// be over before the change has ended.
    static constexpr std::size_t MAX_PROACTIVE_FLEET_SIZE = 48;
    /// \brief Divides the size of a larger fleet; the quotient is the maximum number of engines that change at the same time.
    static constexpr std::size_t CONCURRENT_CHANGES_DIVISOR = 32;

    /// \param prefillShare share of prefill engines, 0 to 1.
    explicit PhaseBalancer(double prefillShare);

    void setPrefillShare(double share);

    /// \brief Returns the share of prefill engines that the slots of the decode engines can keep up with, at most \a maxPrefill.
    /// \param slots generations that one engine runs concurrently.
    [[nodiscard]] static double prefillShareFor(double maxPrefill, int slots);

    /// \brief Returns the changes that bring the engines to the share, and records them as pending.
    std::vector<PhaseChange> plan(const std::vector<BalancedEngine> &engines, PhasePressure pressure, Time now);

    /// \brief Records that the engine has not received or not accepted the order; it may get another one after the back-off.
    void recordRejection(const EndpointId &engine, Time now);

    /// \brief Returns the number of prefill engines among \a total that corresponds to the share, with at least one engine in each phase if
    /// there are two.
    [[nodiscard]] std::size_t targetPrefillEngines(std::size_t total) const;

private:
    struct Pending {
        /// \brief Phase that the engine is expected to have.
        EnginePhase phase;
        std::int64_t startedAt;
        Time until;
        bool rejected = false;
    };

    /// \brief Returns whether \a prefill engines need no change: they are near enough to \a wanted, or the load does not require one.
    [[nodiscard]] bool isAcceptable(std::size_t prefill, std::size_t wanted, std::size_t total, PhasePressure pressure) const;
    void prunePending(const std::vector<BalancedEngine> &engines, Time now);
    /// \brief Returns the engine whose change keeps the prefill shares of the regions closest to each other, or null if there is none. Of a region's
    /// engines it is the quickest one for prefill and the slowest one for decode, if their speeds differ clearly.
    [[nodiscard]] const BalancedEngine *selectEngine(const std::vector<BalancedEngine> &engines,
                                                     EnginePhase from,
                                                     const std::map<RegionId, double> &prefillShares) const;

    double prefillShare_;
    std::map<EndpointId, Pending> pending_;
};

} // namespace mimosatally
