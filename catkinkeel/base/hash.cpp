#include "catkinkeel/base/hash.hpp"

#include <xxhash.h>

#include <array>

namespace catkinkeel
{

std::uint64_t hash_flow(const flow_key& key)
{
    std::array<unsigned char, 13> packed{};
    std::size_t at = 0;
    const auto put = [&](std::uint64_t value, int bytes)
    {
        for (int byte = bytes - 1; byte >= 0; --byte)
        {
            packed[at++] = static_cast<unsigned char>(value >> (8 * byte));
        }
    };
    put(key.caller.address.value, 4);
    put(key.caller.port, 2);
    put(key.service_side.address.value, 4);
    put(key.service_side.port, 2);
    put(static_cast<std::uint8_t>(key.transport), 1);
    return XXH64(packed.data(), packed.size(), 0);
}

} // namespace catkinkeel
