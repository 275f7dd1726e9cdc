#include "soak/segment.hpp"

#include <boost/endian/conversion.hpp>

namespace catkinkeel::soak
{

namespace
{

using boost::endian::load_big_u16;
using boost::endian::load_big_u32;
using boost::endian::store_big_u16;
using boost::endian::store_big_u32;

/// Replaces the checksum of callers and backend servers, which depends on a key
/// that the daemons don't have.
constexpr std::uint32_t placeholder_checksum = 0x5eedc0de;

constexpr unsigned flag_abort = 1;
constexpr unsigned flag_finish = 2;
constexpr unsigned flag_acknowledge = 8;
constexpr unsigned flag_open = 64;

} // namespace

segment_bytes encode(const segment& packet)
{
    segment_bytes bytes(segment_size + packet.data_bytes);
    store_big_u32(bytes.data(), packet.has_checksum ? placeholder_checksum : 0);
    store_big_u32(&bytes[4], packet.source.address.value);
    store_big_u16(&bytes[8], packet.source.port);
    store_big_u32(&bytes[10], packet.destination.address.value);
    store_big_u16(&bytes[14], packet.destination.port);
    store_big_u32(&bytes[16], packet.token);
    bytes[20] = static_cast<unsigned char>(
        (packet.opens ? flag_open : 0) |
        (packet.acknowledges ? flag_acknowledge : 0) |
        (packet.finishes ? flag_finish : 0) | (packet.aborts ? flag_abort : 0));
    store_big_u32(&bytes[28], packet.sequence);
    store_big_u32(&bytes[32], packet.acknowledged_sequence);
    return bytes;
}

std::optional<segment> decode(std::span<const unsigned char> bytes)
{
    if (bytes.size() < segment_size)
    {
        return std::nullopt;
    }
    const unsigned flags = bytes[20];
    return segment{
        .source = {{load_big_u32(&bytes[4])}, load_big_u16(&bytes[8])},
        .destination = {{load_big_u32(&bytes[10])}, load_big_u16(&bytes[14])},
        .token = load_big_u32(&bytes[16]),
        .opens = (flags & flag_open) != 0,
        .acknowledges = (flags & flag_acknowledge) != 0,
        .finishes = (flags & flag_finish) != 0,
        .aborts = (flags & flag_abort) != 0,
        .sequence = load_big_u32(&bytes[28]),
        .acknowledged_sequence = load_big_u32(&bytes[32]),
        .has_checksum = load_big_u32(bytes.data()) != 0,
        .data_bytes = static_cast<std::uint32_t>(bytes.size() - segment_size)};
}

} // namespace catkinkeel::soak
