#include "catkinkeel/steering/snapshot.hpp"

#include <algorithm>

namespace catkinkeel::steering
{

namespace
{

published_terms configuration_of(const view_parts& parts)
{
    published_terms terms{.version = parts.version};
    for (const view_reference& reference : parts.references)
    {
        if (reference.weighted_services.empty())
        {
            continue;
        }
        reference_terms row{.name = reference.name,
                            .address = reference.address};
        for (const weighted_service_id& choice : reference.weighted_services)
        {
            row.services.push_back(
                {parts.services[choice.service.value].name, choice.weight});
        }
        terms.references.push_back(std::move(row));
    }
    for (const view_service& service : parts.services)
    {
        terms.services.push_back({service.name, service.cold_flows_per_second});
    }
    return terms;
}

target_announcement announcement_of(const view_parts& parts,
                                    const view_target& target, instant now)
{
    return {.name = target.name,
            .identity = target.identity,
            .service = parts.services[target.service.value].name,
            .address = target.address,
            .data_centre = parts.data_centres[target.data_centre.value],
            .state = target.standing == target_standing::draining
                         ? announced_state::draining
                         : announced_state::ready,
            .warm_up_left = std::max(target.cold_until - now, duration::zero()),
            .slots = target.slots,
            .started_ms = target.started_ms};
}

} // namespace

metadata_update to_update(const steering_view& view, instant now)
{
    const view_parts& parts = view.parts();
    metadata_update update{.complete = true, .revision = parts.revision};
    update.changes.emplace_back(terms_published{configuration_of(parts)});
    for (const std::string& name : parts.closed_data_centres)
    {
        update.changes.emplace_back(data_centre_switched{name, false});
    }
    for (const view_target& target : parts.targets)
    {
        if (target.standing != target_standing::withdrawn)
        {
            update.changes.emplace_back(
                target_announced{announcement_of(parts, target, now)});
        }
    }
    return update;
}

} // namespace catkinkeel::steering
