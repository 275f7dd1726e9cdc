#include "catkinkeel/contract/published_set.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace catkinkeel
{

namespace
{

/// Packs the address into the upper 32 bits, the port into the next 24 and the
/// protocol into the lowest 8.
std::uint64_t endpoint_key(const endpoint& public_endpoint, protocol transport)
{
    return (static_cast<std::uint64_t>(public_endpoint.address.value) << 32U) |
           (static_cast<std::uint64_t>(public_endpoint.port) << 8U) |
           static_cast<std::uint64_t>(transport);
}

template <class T>
void sort_by_id(std::vector<T>& objects)
{
    std::ranges::sort(objects, {}, &T::id);
}

template <class T, class Id>
const T* find_by_id(const std::vector<T>& objects, Id id)
{
    const auto found = std::ranges::lower_bound(objects, id, {}, &T::id);
    return found != objects.end() && found->id == id ? &*found : nullptr;
}

} // namespace

published_set::published_set(published_objects objects)
    : objects_(std::move(objects))
{
    sort_by_id(objects_.services);
    sort_by_id(objects_.data_centres);
    sort_by_id(objects_.references);
    // The targets of a service become consecutive, as `targets_of` requires.
    std::ranges::sort(objects_.targets, {},
                      [](const target& t)
                      { return std::tuple(t.service, t.id); });
    targets_by_id_.reserve(objects_.targets.size());
    for (std::size_t i = 0; i < objects_.targets.size(); ++i)
    {
        const target& each = objects_.targets[i];
        targets_by_id_.emplace(each.id, i);
        range& service_range =
            targets_by_service_.try_emplace(each.service, range{i, 0})
                .first->second;
        ++service_range.count;
    }
    references_by_endpoint_.reserve(objects_.references.size());
    for (std::size_t i = 0; i < objects_.references.size(); ++i)
    {
        const reference& each = objects_.references[i];
        references_by_endpoint_.emplace(
            endpoint_key(each.public_endpoint, each.transport), i);
    }
}

const service* published_set::find_service(service_id id) const
{
    return find_by_id(objects_.services, id);
}

const data_centre* published_set::find_data_centre(data_centre_id id) const
{
    return find_by_id(objects_.data_centres, id);
}

const target* published_set::find_target(target_id id) const
{
    const auto found = targets_by_id_.find(id);
    return found == targets_by_id_.end() ? nullptr
                                         : &objects_.targets[found->second];
}

const reference* published_set::find_reference(const endpoint& public_endpoint,
                                               protocol transport) const
{
    const auto found =
        references_by_endpoint_.find(endpoint_key(public_endpoint, transport));
    return found == references_by_endpoint_.end()
               ? nullptr
               : &objects_.references[found->second];
}

std::span<const target> published_set::targets_of(service_id id) const
{
    const auto found = targets_by_service_.find(id);
    if (found == targets_by_service_.end())
    {
        return {};
    }
    return std::span(objects_.targets)
        .subspan(found->second.first, found->second.count);
}

bool published_set::in_service(data_centre_id id) const
{
    const data_centre* found = find_data_centre(id);
    return found != nullptr && found->wish == data_centre_wish::in_service;
}

} // namespace catkinkeel
