#include "catkinkeel/base/hash.hpp"

#include <xxhash.h>

#include <array>

namespace catkinkeel
{

std::uint64_t hash_flow(const flow_key& key)
{
    // The byte order, the order of the fields and the seed 0 must not change:
    // they determine the bucket of a flow. Big-endian on every machine, since
    // the VMs of a fleet must agree.
    std::array<unsigned char, 13> key_bytes{};
    std::size_t offset = 0;
    const auto append_big_endian = [&](std::uint64_t value, int byte_width)
    {
        for (int byte = byte_width - 1; byte >= 0; --byte)
        {
            key_bytes[offset++] =
                static_cast<unsigned char>(value >> (8 * byte));
        }
    };
    append_big_endian(key.caller.address.value, 4);
    append_big_endian(key.caller.port, 2);
    append_big_endian(key.service_side.address.value, 4);
    append_big_endian(key.service_side.port, 2);
    append_big_endian(static_cast<std::uint8_t>(key.transport), 1);
    return XXH64(key_bytes.data(), key_bytes.size(), 0);
}

} // namespace catkinkeel
