#include "catkinkeel/link/envelope.hpp"

#include "catkinkeel/link/internal/byte_block.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace catkinkeel
{

namespace
{

using mac_bytes = std::array<std::uint8_t, crypto_auth_hmacsha512256_BYTES>;
static_assert(crypto_auth_hmacsha512256_KEYBYTES ==
              std::tuple_size_v<key_bytes>);

constexpr std::size_t vm_id_bytes = 4;
constexpr std::size_t uint64_bytes = 8;

// crypto_auth is HMAC-SHA-512-256. The streaming interface computes the MAC of
// both inputs without concatenating them.
mac_bytes compute_mac(byte_view covered, byte_view context,
                      const key_bytes& secret)
{
    crypto_auth_hmacsha512256_state state;
    mac_bytes mac;
    crypto_auth_hmacsha512256_init(&state, secret.data(), secret.size());
    crypto_auth_hmacsha512256_update(&state, covered.data(), covered.size());
    crypto_auth_hmacsha512256_update(&state, context.data(), context.size());
    crypto_auth_hmacsha512256_final(&state, mac.data());
    return mac;
}

mac_bytes frame_mac(byte_view covered, const frame_context& context,
                    const key_bytes& secret)
{
    internal::block_writer associated_data;
    associated_data.put(context.receiver.value, vm_id_bytes);
    associated_data.put(context.token.value, uint64_bytes);
    return compute_mac(covered, associated_data.bytes(), secret);
}

} // namespace

byte_buffer seal_frame(const frame_header& header, byte_view body,
                       const frame_context& context, const link_key& key)
{
    internal::block_writer out;
    out.put(message_format_version, 1);
    out.put(static_cast<std::uint8_t>(header.kind), 1);
    out.put(header.key_id, 1);
    out.put(header.sender.value, vm_id_bytes);
    out.put(header.session.value, uint64_bytes);
    out.put(header.sequence, sizeof header.sequence);
    byte_buffer bytes = out.bytes();
    bytes.insert(bytes.end(), body.begin(), body.end());
    const mac_bytes mac = frame_mac(bytes, context, key.secret);
    bytes.insert(bytes.end(), mac.begin(), mac.begin() + envelope_mac_size);
    return bytes;
}

std::variant<frame, drop_reason> parse_frame(byte_view bytes)
{
    if (bytes.size() > max_message_size.value)
    {
        return drop_reason::oversized;
    }
    if (bytes.size() < envelope_size)
    {
        return drop_reason::malformed;
    }
    internal::block_reader in(bytes);
    std::uint8_t format = 0;
    std::uint8_t kind = 0;
    frame_header header;
    const bool complete =
        in.get(format) && in.get(kind) && in.get(header.key_id) &&
        in.get(header.sender.value) && in.get(header.session.value) &&
        in.get(header.sequence);
    if (!complete)
    {
        return drop_reason::malformed;
    }
    if (format < min_message_format_version || format > message_format_version)
    {
        return drop_reason::unknown_format;
    }
    if (kind > static_cast<std::uint8_t>(frame_kind::welcome))
    {
        return drop_reason::malformed;
    }
    header.kind = static_cast<frame_kind>(kind);
    return frame{header, bytes.subspan(envelope_header_size,
                                       bytes.size() - envelope_size)};
}

bool verify_frame(byte_view bytes, const frame_context& context,
                  const link_key& key)
{
    if (bytes.size() < envelope_size)
    {
        return false;
    }
    const auto covered = bytes.first(bytes.size() - envelope_mac_size);
    const mac_bytes mac = frame_mac(covered, context, key.secret);
    return sodium_memcmp(mac.data(), bytes.last(envelope_mac_size).data(),
                         envelope_mac_size) == 0;
}

session_token derive_token(const key_bytes& secret, vm_id sender,
                           session_id session, std::uint64_t epoch)
{
    internal::block_writer input;
    input.put(sender.value, vm_id_bytes);
    input.put(session.value, uint64_bytes);
    input.put(epoch, uint64_bytes);
    const mac_bytes mac = compute_mac(input.bytes(), {}, secret);
    session_token token;
    internal::block_reader reader(mac);
    static_cast<void>(reader.get(token.value));
    return token;
}

} // namespace catkinkeel
