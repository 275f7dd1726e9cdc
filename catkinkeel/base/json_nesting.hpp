#pragma once

// Bounds the nesting of a JSON text before it is parsed. A parsed document
// takes up to 90 bytes of memory for each byte of a text that consists of
// opening brackets, and whoever prints or compares it recurses once a level.

#include <cstddef>
#include <string_view>

namespace catkinkeel
{

/// Whether at most `max_depth` arrays and objects of `text` are nested.
/// Brackets in strings do not count. `text` need not be valid JSON. Linear in
/// its size.
[[nodiscard]] bool has_limited_nesting(std::string_view text,
                                       std::size_t max_depth);

} // namespace catkinkeel
