#pragma once

#include <mimosatally/Membership>
#include <mimosatally/Routing>

#include <string>
#include <string_view>
#include <vector>

namespace mimosatally::internal
{

/// \brief What one gateway tells another without being asked.
struct PeerDatagram {
    RegionId region;
    /// \brief Some gateways that the sender knows.
    std::vector<PeerAddress> peers;
    std::vector<PrefillNotice> readings;
};

/// \brief Largest datagram, so that none is split on its way.
constexpr std::size_t MAX_DATAGRAM_BYTES = 1400;
/// \brief Readings in one datagram; with the parts that a notice may name they fit into it.
constexpr std::size_t READINGS_PER_DATAGRAM = 8;
/// \brief Parts of a prompt that one notice names; the others are left out.
constexpr std::size_t PARTS_PER_NOTICE = 6;
constexpr std::size_t PEERS_PER_DATAGRAM = 4;

std::string encodeDatagram(const PeerDatagram &datagram);

/// \throws MalformedInputError if \a bytes are no datagram of this form.
PeerDatagram decodeDatagram(std::string_view bytes);

} // namespace mimosatally::internal
