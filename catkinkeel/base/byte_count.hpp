#pragma once

// A number of bytes, so that a size never mixes with another integer.

#include <compare>
#include <cstdint>

namespace catkinkeel
{

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
