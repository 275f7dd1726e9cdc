#pragma once

// Encoding of messages as MessagePack, format version 1. A body is an array of
// the type number and the fields of the message. Long or frequent lists (member
// updates, buckets, weighted targets, exceptions) are packed into binary
// blocks.

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

/// Maximum size of a message including its envelope.
inline constexpr byte_count max_message_size{16384};

/// Urgent messages may be sent while the byte budget is in debt, normal ones
/// may not.
enum class message_priority : std::uint8_t
{
    urgent,
    normal
};

/// Encodes a message, including one that is too large to send. Exceptions are
/// sorted by public address; those of one address keep their order.
byte_buffer encode_message(const message& content);

/// Decodes an untrusted body. Fails with `oversized`, `malformed` or
/// `unknown_type`; never reads past the body. Forged lengths make it allocate
/// at most 1 MB for the duration of the call.
std::variant<message, drop_reason> decode_message(byte_view body);

message_priority priority_of(const message& content);

/// Returns the type name for output, e.g. "probe_ack".
std::string_view type_name(const message& content);

} // namespace catkinkeel
