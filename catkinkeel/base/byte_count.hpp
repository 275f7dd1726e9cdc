#pragma once

// A size in bytes as a type of its own, so that it cannot be mixed with other
// integers.

#include <compare>
#include <cstdint>

namespace catkinkeel
{

/// Size in bytes.
struct byte_count
{
    std::uint64_t value = 0;

    friend auto operator<=>(const byte_count&, const byte_count&) = default;
    friend constexpr byte_count operator+(byte_count a, byte_count b)
    {
        return {a.value + b.value};
    }
};

} // namespace catkinkeel
