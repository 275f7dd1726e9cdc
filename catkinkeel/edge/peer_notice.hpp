#pragma once

// Notices that daemons send to each other: the last confirmed revision of the
// metadata store with its time, and which daemons exist. A notice carries no
// configuration and no targets. A forged notice can only make its receivers
// read the store once more, or delay a read up to the time at which each daemon
// reads by itself, and send datagrams to an address.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/freshness.hpp"
#include "catkinkeel/edge/peer_table.hpp"

#include <compare>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace catkinkeel::edge
{

/// Maximum number of sightings in a notice.
inline constexpr std::size_t max_notice_sightings = 16;

/// Times are on the clock of the sender before encoding and on that of the
/// receiver after decoding; on the wire they are ages.
struct peer_notice
{
    peer sender;
    /// The sender requests a notice with `max_notice_sightings` sightings.
    bool requests_peers = false;
    std::optional<confirmation> confirmed;
    std::vector<peer_sighting> sightings;

    friend auto operator<=>(const peer_notice&, const peer_notice&) = default;
};

/// MessagePack: [format version, address, port, data centre, requests peers,
/// [revision, age in ms] or nil, [[address, port, data centre, age in ms]...]].
std::vector<std::byte> encode_notice(const peer_notice& notice, instant now);

/// `arrival` is the time at which the notice arrived, which may be long before
/// it is decoded. Fails with `invalid_input` if the bytes are not a notice of
/// this format.
outcome<peer_notice> decode_notice(std::span<const std::byte> bytes,
                                   instant arrival);

} // namespace catkinkeel::edge
