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

/// \brief Keeps the configuration of a process up to date from the log and from peers.
///
/// An unreachable log or peer does not end the follower; it keeps the last version and retries.
class ConfigurationFollower
{
public:
    enum class Mode {
        /// \brief Reads the log at every poll and writes snapshots; used by entries.
        ReadAlways,
        /// \brief Reads the log only if the version was not confirmed within Options::peerTimeout, usually by a peer; used by agents.
        ReadWhenUnconfirmed,
    };

    struct Options {
        Mode mode = Mode::ReadAlways;
        Duration pollInterval = Duration(500);
        Duration requestTimeout = Duration(3000);
        /// \brief Time without a confirmation after which an agent reads the log.
        Duration peerTimeout = Duration(2000);
        /// \brief Age up to which a confirmation is valid.
        Duration maxConfirmationAge = Duration(4000);
        Duration maxBackoff = Duration(5000);
        /// \brief Number of records after the last snapshot at which the next one is written; 0 disables snapshots.
        std::int64_t snapshotEvery = 256;
        /// \brief Age of the last snapshot at which the next one is written, regardless of the number of records.
        Duration snapshotAge = Duration(6LL * 3600 * 1000);
        /// \brief Upper limit of the random delay of a snapshot; an entry skips its snapshot if another entry writes one first.
        Duration snapshotJitter = Duration(60'000);
        /// \brief Seed of the jitter of retries and snapshots.
        std::uint64_t seed = 1;
    };

    using ChangeHandler = std::function<void(const ConfigurationState &)>;

    ConfigurationFollower(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint logService, std::vector<Operator> bootstrapOperators, Options options);
    ~ConfigurationFollower();
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /// \brief Starts polling on the io_context.
    void start();
    /// \brief Stops polling; records from peers are still applied.
    void stop();

    /// \brief Current state; the reference stays valid, its content changes with each version.
    [[nodiscard]] const ConfigurationState &state() const;

    /// \brief Calls \a handler after each new version, on the thread of the io_context.
    void onChange(ChangeHandler handler);

    /// \brief Applies the records of an `exchange`. Each list is complete from its first record on, so lost and reordered
    /// lists are harmless.
    void applyFromPeer(const std::vector<ConfigurationRecord> &records, ConfigurationVersion peerVersion);

    /// \brief Records to send to a peer whose last known version is \a peerVersion; never empty, since the first record
    /// informs the peer how recently the version of this process was confirmed.
    [[nodiscard]] std::vector<ConfigurationRecord> recordsFor(ConfigurationVersion peerVersion) const;

    /// \brief Returns true if the log or a peer confirmed the version within Options::maxConfirmationAge before \a now.
    [[nodiscard]] bool isConfirmed(Time now) const;

    /// \brief Time of the last confirmation, or of the start if there was none; std::nullopt while the version is confirmed.
    [[nodiscard]] std::optional<Time> unconfirmedSince(Time now) const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace mimosatally
