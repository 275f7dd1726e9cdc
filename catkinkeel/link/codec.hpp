#pragma once

// Encoding of messages as MessagePack, format version 1. A body is an array of
// the type number and the fields of the message. Lists that are long or
// frequent (updates, buckets, exceptions) are packed into binary blocks.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/link/drop.hpp"
#include "catkinkeel/link/message.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinkeel
{

using byte_buffer = std::vector<std::uint8_t>;
using byte_view = std::span<const std::uint8_t>;

/// Limit of a whole message with its envelope.
inline constexpr byte_count max_message_size{16384};

/// Whether a message waits for byte budget behind others.
enum class message_priority : std::uint8_t
{
    urgent,
    normal
};

/// Encodes any message, also one that is too large to send. Exceptions are
/// grouped by public address; within an address they keep their order.
byte_buffer encode_message(const message& content);

/// Decodes a body of any content. Fails with `oversized`, `malformed` or
/// `unknown_type`; never reads past the body. False lengths cost at most 1 MB
/// of memory for the time of the call.
std::variant<message, drop_reason> decode_message(byte_view body);

message_priority priority_of(const message& content);

/// Type name for logs and metrics, e.g. "probe_ack".
std::string_view type_name(const message& content);

} // namespace catkinkeel
