#pragma once

// The bytes of one packet, owned by somebody else.

#include <algorithm>
#include <cstddef>
#include <span>

namespace catkinkeel
{

/// Bytes that the viewer does not own; valid while the owner keeps them.
/// Compares by content.
struct packet_view
{
    std::span<const std::byte> bytes;

    friend bool operator==(const packet_view& a, const packet_view& b)
    {
        return std::ranges::equal(a.bytes, b.bytes);
    }
};

} // namespace catkinkeel
