#pragma once

// Line numbers of objects in a published document, so that errors found in the
// whole set can be reported with a line.

#include "catkinkeel/contract/errors.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinkeel
{

/// The line on which the table of one object begins.
struct object_location
{
    object_kind kind = object_kind::set;
    std::uint64_t id = 0;
    /// Counted from 1.
    std::uint32_t line = 0;

    friend auto operator<=>(const object_location&,
                            const object_location&) = default;
};

/// The locations of the objects of a chunk or whole-set document, ordered by
/// line. Empty if the text is not TOML. Objects without an integer identifier
/// are omitted.
std::vector<object_location> find_object_locations(std::string_view text);

} // namespace catkinkeel
