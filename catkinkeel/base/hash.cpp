#include "catkinkeel/base/hash.hpp"

#include <xxhash.h>

#include <array>

namespace catkinkeel
{

std::uint64_t hash_flow(const flow_key& key)
{
    std::array<unsigned char, 13> packed{};
    std::size_t offset = 0;
    const auto append_big_endian = [&](std::uint64_t value, int width)
    {
        for (int byte = width - 1; byte >= 0; --byte)
        {
            packed[offset++] = static_cast<unsigned char>(value >> (8 * byte));
        }
    };
    append_big_endian(key.caller.address.value, 4);
    append_big_endian(key.caller.port, 2);
    append_big_endian(key.service_side.address.value, 4);
    append_big_endian(key.service_side.port, 2);
    append_big_endian(static_cast<std::uint8_t>(key.transport), 1);
    return XXH64(packed.data(), packed.size(), 0);
}

} // namespace catkinkeel
