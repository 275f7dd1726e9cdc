#pragma once

// The authenticated frame of each message, 35 bytes around the body:
//
//   format 1 | kind 1 | key id 1 | sender 4 | session 8 | sequence 4 | body |
//   MAC 16
//
// in network byte order. The MAC is HMAC-SHA-512-256 (libsodium crypto_auth)
// over the header, the body, the receiver and the receiver's token, truncated
// to its first 16 bytes. A forgery then succeeds with probability 2^-128, as
// RFC 2104 allows, and 16 bytes a message are saved of the 2 KB/s budget. The
// receiver and the token are not transmitted: both sides know them.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/key_ring.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <variant>

namespace catkinkeel
{

/// Format that this version sends; it accepts the previous one too, once there
/// is one.
inline constexpr std::uint8_t message_format = 1;
inline constexpr std::uint8_t oldest_message_format = 1;

inline constexpr std::size_t envelope_header_size = 19;
inline constexpr std::size_t envelope_mac_size = 16;
inline constexpr std::size_t envelope_size =
    envelope_header_size + envelope_mac_size;

/// What a frame is for. `hello` asks the receiver for its token; `welcome`
/// gives it.
enum class frame_kind : std::uint8_t
{
    content,
    hello,
    welcome
};

/// Random number that names one life of a process.
using session_id = identifier<struct session_tag, std::uint64_t>;

/// Secret-derived number by which a receiver recognises that a frame was made
/// for its present life and for the sender's present session.
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

/// What the MAC covers beside the frame.
struct frame_context
{
    vm_id receiver;
    session_token token;
};

/// A frame whose MAC has not been verified. Refers to the frame's bytes.
struct frame
{
    frame_header header;
    byte_view body;
};

byte_buffer seal_frame(const frame_header& header, byte_view body,
                       const frame_context& context, const link_key& key);

/// Splits a frame. Fails with `oversized`, `malformed` or `unknown_format`.
std::variant<frame, drop_reason> parse_frame(byte_view bytes);

/// Whether the MAC of whole frame `bytes` is valid; takes the same time for
/// any MAC.
bool verify_frame(byte_view bytes, const frame_context& context,
                  const link_key& key);

/// First 8 bytes of crypto_auth of four numbers.
session_token derive_token(const key_bytes& secret, vm_id sender,
                           session_id session, std::uint64_t epoch);

} // namespace catkinkeel
