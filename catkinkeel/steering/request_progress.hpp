#pragma once

// What the caller's packets of one flow show about its requests. The daemon
// sees no packets of targets, but the caller's acknowledgements tell when an
// answer arrives.
//
// Example:
//   request_progress progress = begin_flow(packet, now);
//   const request_step step = advance(progress, packet, later);
//   if (step.answered_after) { ... }  // a request was answered
//   progress = step.next;

#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel::steering
{

/// The transport fields of a caller's packet. Sequence numbers count bytes and
/// wrap around.
struct flow_segment
{
    /// Number of the first byte of data.
    std::uint32_t sequence = 0;
    /// Number of the next byte that the caller expects from the target.
    std::uint32_t acknowledged = 0;
    std::uint32_t data_bytes = 0;

    friend auto operator<=>(const flow_segment&, const flow_segment&) = default;
};

/// Progress of the current request of a flow.
struct request_progress
{
    /// A request was sent or is due, and no byte of its answer has arrived.
    bool in_progress = false;
    /// When the last new data of the request was sent.
    instant sent_at;
    /// Number of the byte after the last data sent.
    std::uint32_t next_sequence = 0;
    std::uint32_t acknowledged = 0;
    /// Copies of the last data that were seen since it was new and since the
    /// last acknowledgement, each at least `min_copy_interval` after the one
    /// before; 0 if the last data was not seen. Repeats of one byte are no
    /// copies, since they may be probes.
    std::uint32_t copies = 0;
    /// When the last data was last seen.
    instant last_copy_at;

    friend auto operator<=>(const request_progress&,
                            const request_progress&) = default;
};

/// Packets with the same data that are closer together count as one copy: both
/// may have waited in a queue, or the network has duplicated one. Callers
/// repeat data after 200 ms at the earliest; the rest allows for packets that
/// do not take the same time.
inline constexpr duration min_copy_interval = 190ms;

struct request_step
{
    request_progress next;
    /// Time from the last data of a request to the acknowledgement of the first
    /// bytes of its answer; empty if this packet acknowledges none.
    std::optional<duration> answered_after;
    /// Whether this packet acknowledges new bytes of the target.
    bool acknowledges = false;
    /// Whether this packet is a copy of the last data that counts in
    /// `request_progress::copies`, the first one included.
    bool is_copy = false;
    /// Copies before this one that got no acknowledgement; 0 unless this packet
    /// repeats the last data.
    std::uint32_t unanswered_copies = 0;
    /// Bytes of the answer that this packet acknowledges; 0 if
    /// `answered_after` is empty.
    std::uint32_t answered_bytes = 0;

    friend auto operator<=>(const request_step&, const request_step&) = default;
};

/// Progress of a flow of which `first` is the first packet after the handshake.
/// A caller opens a flow to send a request, so one is in progress.
[[nodiscard]] request_progress begin_flow(const flow_segment& first,
                                          instant now);

/// Progress after another packet. Repeated and reordered packets change nothing
/// but the copies of the last data.
[[nodiscard]] request_step advance(const request_progress& progress,
                                   const flow_segment& segment, instant now);

/// Progress whose copies are counted anew.
[[nodiscard]] request_progress without_copies(const request_progress& progress);

} // namespace catkinkeel::steering
