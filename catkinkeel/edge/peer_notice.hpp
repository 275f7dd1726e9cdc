#pragma once

// What daemons tell each other: how far the metadata store had got at which
// time, and which daemons there are. A notice carries no terms and no targets;
// a forged one can make its receivers read the store once more or later, within
// the time in which each reads it by itself, and send datagrams to an address.

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

/// Largest encoded notice.
inline constexpr std::size_t largest_notice = 1200;

/// Sightings that a notice carries at most.
inline constexpr std::size_t most_sightings = 16;

/// Times are those of the receiver after decoding, and of the sender before
/// encoding; on the wire they are ages.
struct peer_notice
{
    peer sender;
    /// The sender asks for a notice with as many sightings as fit.
    bool wants_peers = false;
    std::optional<confirmation> confirmed;
    std::vector<peer_sighting> sightings;

    friend auto operator<=>(const peer_notice&, const peer_notice&) = default;
};

/// MessagePack: [format, address, port, data centre, wants peers, [revision,
/// age in ms] or nil, [[address, port, data centre, age in ms]...]].
std::vector<std::byte> encode_notice(const peer_notice& notice, instant now);

/// Fails with `invalid_input` for anything but a notice of this format.
outcome<peer_notice> decode_notice(std::span<const std::byte> bytes,
                                   instant now);

} // namespace catkinkeel::edge
