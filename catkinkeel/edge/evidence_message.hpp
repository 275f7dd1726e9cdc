#pragma once

// Messages in which daemons report to each other what they have observed of
// targets that may be faulty.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/edge/peer_table.hpp"
#include "catkinkeel/steering/target_evidence.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace catkinkeel::edge
{

/// Maximum number of reports in a message; a report takes at most 25 bytes.
inline constexpr std::size_t max_message_reports = 16;

/// A decoded count is at most this, so that counts of peers cannot overflow a
/// sum.
inline constexpr std::uint32_t max_report_count = 255;

/// Times are on the clock of the sender before encoding and on that of the
/// receiver after decoding; on the wire they are ages.
struct evidence_message
{
    peer sender;
    std::vector<steering::target_report> reports;

    friend auto operator<=>(const evidence_message&,
                            const evidence_message&) = default;
};

/// MessagePack: [format version, address, port, data centre, [[identity, start
/// time in ms, kind, count, age in ms]...]]. Kind 0 is failing answers, 1 is
/// silence.
std::vector<std::byte> encode_evidence(const evidence_message& message,
                                       instant now);

/// Whether a datagram claims to be an evidence message and not a notice.
bool is_evidence(std::span<const std::byte> bytes);

/// `arrival` is the time at which the message arrived. Leaves out reports that
/// are older than `steering::max_evidence_age`. Fails with `invalid_input` if
/// the bytes are not a message of this format.
outcome<evidence_message> decode_evidence(std::span<const std::byte> bytes,
                                          instant arrival);

} // namespace catkinkeel::edge
