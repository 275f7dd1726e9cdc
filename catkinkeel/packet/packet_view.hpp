#pragma once

// A non-owning view of the bytes of one packet.

#include <algorithm>
#include <cstddef>
#include <span>

namespace catkinkeel
{

/// Does not own the bytes; valid as long as their storage. Compares by content.
struct packet_view
{
    std::span<const std::byte> bytes;

    friend bool operator==(const packet_view& a, const packet_view& b)
    {
        return std::ranges::equal(a.bytes, b.bytes);
    }
};

} // namespace catkinkeel
