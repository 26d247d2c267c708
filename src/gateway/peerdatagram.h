#pragma once

#include "streams/streamorigins.h"
#include "usagedatagram.h"

#include <mimosatally/Membership>
#include <mimosatally/Routing>
#include <mimosatally/core/checkpoint.h>

#include <string>
#include <string_view>
#include <vector>

namespace mimosatally::internal
{

/// \brief Unsolicited message from one gateway to another.
struct PeerDatagram {
    RegionId region;
    /// \brief Some gateways that the sender knows.
    std::vector<PeerAddress> peers;
    std::vector<PrefillNotice> prefillNotices;
    /// \brief Gateways that the sender knows, itself included; zero in datagrams that are no heartbeat.
    int processCount = 0;
    std::vector<LimitNotice> limitNotices;
    std::vector<SuspectNotice> suspectNotices;
    std::vector<StreamNotice> streamNotices;
    /// \brief Requests that brought the first events of streams whose origins the sender does not know.
    std::vector<RequestId> streamQueries;
    /// \brief Sender's time of day in milliseconds since the start of 1970; zero if it is not told.
    std::int64_t unixMs = 0;
    std::vector<HashedUsageNotice> usageNotices;
    /// \brief Newest usage window whose report is written down, as far as the sender knows.
    std::optional<UsageWindow> lastWritten;
};

/// \brief Maximum size of a datagram, small enough that none is fragmented.
constexpr std::size_t MAX_DATAGRAM_BYTES = 1400;
/// \brief Maximum number of prefill notices in one datagram; with MAX_PARTS_PER_NOTICE parts each, they fit into it.
constexpr std::size_t MAX_NOTICES_PER_DATAGRAM = 8;
/// \brief Maximum number of prompt parts in one notice; further ones are left out.
constexpr std::size_t MAX_PARTS_PER_NOTICE = 6;
constexpr std::size_t MAX_PEERS_PER_DATAGRAM = 4;
/// \brief Maximum number of limit notices in a heartbeat; with MAX_PEERS_PER_DATAGRAM peers, they fit into it.
constexpr std::size_t MAX_LIMIT_NOTICES_PER_DATAGRAM = 24;

/// \brief Maximum number of notices on suspects in one datagram; with all their crashes, they fit into it without other notices.
constexpr std::size_t MAX_SUSPECT_NOTICES_PER_DATAGRAM = 8;

/// \brief Maximum number of stream notices in one datagram.
constexpr std::size_t MAX_STREAM_NOTICES_PER_DATAGRAM = 16;
/// \brief Maximum number of streams that one datagram names, in its notices and as queries.
constexpr std::size_t MAX_STREAMS_PER_DATAGRAM = 64;
/// \brief Maximum length of the names of services and versions in stream notices; longer ones are not sent.
constexpr std::size_t MAX_ORIGIN_NAME_BYTES = 64;

/// \brief Distributes notices over datagrams that are not longer than MAX_DATAGRAM_BYTES. What cannot be sent because a name is too long is left out.
std::vector<PeerDatagram> batchStreamNotices(const RegionId &region, const std::vector<StreamNotice> &notices);

/// \brief Distributes queries over datagrams that are not longer than MAX_DATAGRAM_BYTES.
std::vector<PeerDatagram> batchStreamQueries(const RegionId &region, const std::vector<RequestId> &roots);

/// \brief Distributes notices, and the counts of long ones, over datagrams that are not longer than MAX_DATAGRAM_BYTES. \param checkpoint is called after each
/// full datagram.
std::vector<PeerDatagram> batchUsageNotices(const RegionId &region, const std::vector<UsageNotice> &notices, const Checkpoint &checkpoint = noCheckpoint);

std::string encodeDatagram(const PeerDatagram &datagram);

/// \throws MalformedInputError if \a bytes are not a valid datagram.
PeerDatagram decodeDatagram(std::string_view bytes);

} // namespace mimosatally::internal
