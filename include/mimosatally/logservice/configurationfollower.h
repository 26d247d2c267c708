#pragma once

#include "logclient.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mimosatally/Config>
#include <optional>
#include <vector>

namespace mimosatally
{

/// \brief Keeps the configuration of a process current from the log and from peers.
///
/// An unreachable log or peer never ends the follower; it keeps the last version and goes on trying.
class ConfigurationFollower
{
public:
    enum class Mode {
        /// \brief Reads the log at every poll and writes snapshots; for entries.
        ReadAlways,
        /// \brief Reads the log only while peers do not confirm the version; for agents.
        ReadWhenPeersAreUnreachable,
    };

    struct Options {
        Mode mode = Mode::ReadAlways;
        Duration pollInterval = Duration(500);
        Duration requestTimeout = Duration(3000);
        /// \brief How long peers may be silent before the log is read.
        Duration peerSilence = Duration(2000);
        /// \brief Age up to which a confirmation counts.
        Duration confirmationLimit = Duration(4000);
        Duration longestBackoff = Duration(5000);
        /// \brief A snapshot is written when the stream has so many records after the last one; 0 writes none.
        std::int64_t snapshotEvery = 256;
        /// \brief A snapshot is also written at this age of the last one, whatever the number of records.
        Duration snapshotAge = Duration(6LL * 3600 * 1000);
        /// \brief Entries spread their snapshots at random over this time, and the first one spares the others theirs.
        Duration snapshotSpread = Duration(60'000);
        /// \brief Seed of the random spread of polls and snapshots.
        std::uint64_t seed = 1;
    };

    using ChangeHandler = std::function<void(const ConfigurationState &)>;

    ConfigurationFollower(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint logService, std::vector<Operator> bootstrapOperators, Options options);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /// \brief Starts polling on the io_context.
    void start();
    /// \brief Stops polling; peers are still taken into account.
    void stop();

    /// \brief Current state; the reference stays valid, its content changes with each version.
    [[nodiscard]] const ConfigurationState &state() const;

    /// \brief Calls \a handler after each new version, on the thread of the io_context.
    void onChange(ChangeHandler handler);

    /// \brief Takes the records of an `exchange`. Lists are complete from their first record on, so lost and reordered
    /// lists do no harm.
    void applyFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion);

    /// \brief Records to send to a peer that was last known at \a peerVersion; never empty, since the first record tells the
    /// peer how recently this process' version was confirmed.
    [[nodiscard]] std::vector<ConfigurationRecord> recordsFor(ConfigurationVersion peerVersion) const;

    /// \brief Whether log or peer confirmed the version within the confirmation limit before \a now.
    [[nodiscard]] bool isConfirmed(Time now) const;

    /// \brief Time of the last confirmation, or of the start if there was none; nothing while the version is confirmed.
    [[nodiscard]] std::optional<Time> unconfirmedSince(Time now) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace mimosatally
