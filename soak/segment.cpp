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

/// Stands for the sum of an end, whose key only the ends know.
constexpr std::uint32_t sum_of_an_end = 0x5eedc0de;

constexpr unsigned flag_abort = 1;
constexpr unsigned flag_finish = 2;
constexpr unsigned flag_acknowledge = 8;
constexpr unsigned flag_open = 64;

} // namespace

segment_bytes encode(const segment& value)
{
    segment_bytes bytes{};
    store_big_u32(bytes.data(), value.from_an_end ? sum_of_an_end : 0);
    store_big_u32(&bytes[4], value.from.address.value);
    store_big_u16(&bytes[8], value.from.port);
    store_big_u32(&bytes[10], value.to.address.value);
    store_big_u16(&bytes[14], value.to.port);
    store_big_u32(&bytes[16], value.token);
    bytes[20] = static_cast<unsigned char>(
        (value.opens ? flag_open : 0) |
        (value.acknowledges ? flag_acknowledge : 0) |
        (value.finishes ? flag_finish : 0) | (value.aborts ? flag_abort : 0));
    store_big_u32(&bytes[28], value.sequence);
    store_big_u32(&bytes[32], value.acknowledged);
    return bytes;
}

std::optional<segment> decode(std::span<const unsigned char> bytes)
{
    if (bytes.size() != segment_size)
    {
        return std::nullopt;
    }
    const unsigned flags = bytes[20];
    return segment{.from = {{load_big_u32(&bytes[4])}, load_big_u16(&bytes[8])},
                   .to = {{load_big_u32(&bytes[10])}, load_big_u16(&bytes[14])},
                   .token = load_big_u32(&bytes[16]),
                   .opens = (flags & flag_open) != 0,
                   .acknowledges = (flags & flag_acknowledge) != 0,
                   .finishes = (flags & flag_finish) != 0,
                   .aborts = (flags & flag_abort) != 0,
                   .sequence = load_big_u32(&bytes[28]),
                   .acknowledged = load_big_u32(&bytes[32]),
                   .from_an_end = load_big_u32(bytes.data()) != 0};
}

} // namespace catkinkeel::soak
