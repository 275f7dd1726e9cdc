#pragma once

// Typed identifiers of published objects and of VMs. An identifier stays the
// same for the lifetime of its object, while the object's name may change.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace catkinkeel
{

/// Number that identifies one object of the kind `Tag`. Identifiers of
/// different kinds cannot be compared or converted.
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
using bucket_id = identifier<struct bucket_tag, std::uint16_t>;

/// Version of a published set. The version in effect never decreases.
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
