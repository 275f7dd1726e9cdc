#pragma once

// Authenticated frame of a message. The envelope adds 35 bytes to the body;
// field sizes in bytes, integers in network byte order:
//
//   format 1 | kind 1 | key id 1 | sender 4 | session 8 | sequence 4 | body |
//   MAC 16
//
// The MAC is HMAC-SHA-512-256 (libsodium crypto_auth) over the header, the
// body, the receiver and the receiver's token, truncated to its first 16 bytes.
// A forgery then succeeds with probability 2^-128, which RFC 2104 permits, and
// the truncation saves 16 bytes of the budget of 2 KB/s for each message. The
// receiver and the token are not transmitted, because both sides have them.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/key_ring.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace catkinkeel
{

/// Format version of the frames that this build sends. Frames with a version
/// from `min_message_format_version` up to this one are accepted. When the
/// format changes, the previous version must remain accepted.
inline constexpr std::uint8_t message_format_version = 1;
inline constexpr std::uint8_t min_message_format_version = 1;

inline constexpr std::size_t envelope_header_size = 19;
inline constexpr std::size_t envelope_mac_size = 16;
inline constexpr std::size_t envelope_size =
    envelope_header_size + envelope_mac_size;

/// `content` frames have a message as body. `hello` requests a session token
/// from the receiver; `welcome` is the response and contains the token.
enum class frame_kind : std::uint8_t
{
    content,
    hello,
    welcome
};

/// Random number that a process chooses at its start.
using session_id = identifier<struct session_tag, std::uint64_t>;

/// Number that a receiver derives from its secret for one session of a sender.
/// The MAC covers it, so that frames sealed before a restart of the receiver or
/// of the sender are rejected.
using session_token = identifier<struct session_token_tag, std::uint64_t>;

struct frame_header
{
    frame_kind kind = frame_kind::content;
    std::uint8_t key_id = 0;
    vm_id sender;
    session_id session;
    std::uint32_t sequence = 0;

    friend auto operator<=>(const frame_header&, const frame_header&) = default;
};

/// Data that the MAC covers in addition to the frame. It is not transmitted.
/// `token` is 0 for `hello` and `welcome` frames.
struct frame_context
{
    vm_id receiver;
    session_token token;
};

/// A parsed frame whose MAC has not been verified. `body` is a view of the
/// bytes passed to `parse_frame`.
struct frame
{
    frame_header header;
    byte_view body;
};

/// Encodes the header and the body and appends the MAC.
byte_buffer seal_frame(const frame_header& header, byte_view body,
                       const frame_context& context, const link_key& key);

/// Splits a frame into header and body without verifying the MAC. Fails with
/// `oversized`, `malformed` or `unknown_format`.
std::variant<frame, drop_reason> parse_frame(byte_view bytes);

/// Whether the MAC at the end of the frame `bytes` is valid. The MACs are
/// compared in constant time.
bool verify_frame(byte_view bytes, const frame_context& context,
                  const link_key& key);

/// Returns the first 8 bytes of the crypto_auth MAC of `sender`, `session` and
/// `epoch` under the key `secret`.
session_token derive_token(const key_bytes& secret, vm_id sender,
                           session_id session, std::uint64_t epoch);

} // namespace catkinkeel
