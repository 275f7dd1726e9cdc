#pragma once

// Typed numbers that identify objects of the published set, VMs, buckets and
// versions of the set. The identifier of an object or VM stays the same for its
// lifetime, while its name may change.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace catkinkeel
{

/// Number that identifies one object of the kind `Tag`. Identifiers of
/// different kinds cannot be compared or converted. The tag types are never
/// defined.
template <class Tag, class Rep>
struct identifier
{
    Rep value{};

    friend auto operator<=>(const identifier&, const identifier&) = default;
};

using service_id = identifier<struct service_tag, std::uint32_t>;
using target_id = identifier<struct target_tag, std::uint32_t>;
using reference_id = identifier<struct reference_tag, std::uint32_t>;
using data_centre_id = identifier<struct data_centre_tag, std::uint16_t>;
using region_id = identifier<struct region_tag, std::uint16_t>;
using vm_id = identifier<struct vm_tag, std::uint32_t>;

/// Bucket of flows, the unit in which flows are assigned to entry VMs
/// (`bucket_of` in catkinkeel/data_centre/bucket_map.hpp).
using bucket_id = identifier<struct bucket_tag, std::uint16_t>;

/// Version of a published set, that is of the configuration that all VMs apply
/// as a whole. The version in effect never decreases; 0 means that there is no
/// set.
using set_version = identifier<struct set_version_tag, std::uint64_t>;

} // namespace catkinkeel

template <class Tag, class Rep>
struct std::hash<catkinkeel::identifier<Tag, Rep>>
{
    std::size_t
    operator()(const catkinkeel::identifier<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};
