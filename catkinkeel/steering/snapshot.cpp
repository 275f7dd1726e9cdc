#include "catkinkeel/steering/snapshot.hpp"

#include <algorithm>

namespace catkinkeel::steering
{

namespace
{

published_configuration configuration_of(const view_data& parts)
{
    published_configuration configuration{.version = parts.version};
    for (const view_reference& reference : parts.references)
    {
        if (reference.weighted_services.empty())
        {
            continue;
        }
        reference_configuration row{.name = reference.name,
                                    .address = reference.address,
                                    .terms = reference.terms};
        for (const weighted_service_id& choice : reference.weighted_services)
        {
            row.services.push_back(
                {parts.services[choice.service.value].name, choice.weight});
        }
        configuration.references.push_back(std::move(row));
    }
    for (const view_service& service : parts.services)
    {
        configuration.services.push_back(
            {service.name, service.max_cold_flows_per_second});
    }
    return configuration;
}

target_announcement announcement_of(const view_data& parts,
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
            .remaining_warm_up =
                std::max(target.cold_until - now, duration::zero()),
            .slots = target.slots,
            .started_ms = target.started_ms};
}

} // namespace

metadata_update to_metadata_update(const steering_view& view, instant now)
{
    const view_data& parts = view.parts();
    metadata_update update{.complete = true, .revision = parts.revision};
    update.changes.emplace_back(
        configuration_published{configuration_of(parts)});
    for (const std::string& name : parts.out_of_service_data_centres)
    {
        update.changes.emplace_back(data_centre_service_changed{name, false});
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
