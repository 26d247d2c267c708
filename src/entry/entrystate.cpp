#include "entrystate.h"

#include <random>

namespace mimosatally::internal
{

namespace
{
/// \brief Size limit of the decision records buffered during an outage of the log service (docs/design.md, section 5.4).
constexpr Bytes MAX_BUFFERED_DECISIONS = Bytes(16LL * 1024 * 1024);
/// \brief Approximate upper bound of the time until a recovered agent is connected again.
constexpr Duration MAX_TASK_BACKOFF = Duration(2000);

std::uint64_t chooseSeed(std::uint64_t configured)
{
    if (configured != 0) {
        return configured;
    }
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

ConfigurationFollower::Options followerOptions(const EntrySettings &settings, std::uint64_t seed)
{
    ConfigurationFollower::Options options;
    options.snapshotEvery = settings.snapshotEvery;
    options.snapshotAge = settings.snapshotAge;
    options.seed = seed;
    return options;
}

Supervisor::Options supervisorOptions()
{
    Supervisor::Options options;
    options.maxBackoff = MAX_TASK_BACKOFF;
    return options;
}
} // namespace

EntryState::EntryState(boost::asio::io_context &ioContext, const EntrySettings &entrySettings, Supervisor::EscalationHandler onEscalation)
    : io(ioContext)
    , settings(entrySettings)
    , seed(chooseSeed(entrySettings.seed))
    , incarnation(newUniqueId())
    , rpc(io)
    , log(io, parseAddress(settings.logService))
    , configuration(io, parseAddress(settings.logService), settings.bootstrapOperators, followerOptions(settings, seed))
    , chain(settings.process, incarnation, MAX_BUFFERED_DECISIONS)
    , shipper(io, chain, log, seed)
    , decisions(chain, shipper, metrics)
    , router(Router::Builder().location(settings.region, settings.dataCentre).seed(seed).build())
    , supervisor(io, seed, supervisorOptions(), std::move(onEscalation))
    , fleet(*this)
    , claims(io, log, supervisor)
{
    configuration.onChange([this](const ConfigurationState &state) {
        applyConfiguration(state);
    });
}

void EntryState::applyConfiguration(const ConfigurationState &state)
{
    invariant(state.version > appliedVersion, "a configuration version never reverts");
    appliedVersion = state.version;
    apiKeys.apply(state);
    endpointDirectory.applyConfiguration(state);
    router.setEndpoints(state.configuration.endpoints, MilliClock::now());
    fleet.apply(state);
    claims.setPartitions(state.configuration.claimPartitions);
    refreshBasis();
    decisions.recordConfigurationApplied(state);
    fleet.refreshAvailability();
    fleet.exchangeNow();
}

bool EntryState::refreshBasis()
{
    const Time now = MilliClock::now();
    const std::optional<Time> unconfirmedSince = configuration.unconfirmedSince(now);
    decisions.setBasis({appliedVersion, unconfirmedSince.has_value()});
    return !unconfirmedSince || now - *unconfirmedSince <= configuration.state().configuration.unconfirmedLimit;
}

} // namespace mimosatally::internal
