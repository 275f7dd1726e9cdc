#include "catkinkeel/contract/check.hpp"
#include "catkinkeel/contract/internal/rules.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <set>
#include <utility>

namespace catkinkeel
{

namespace
{

using namespace internal;

void warn_service_without_references(const rule_context& input,
                                     std::string_view rule,
                                     error_list& warnings)
{
    for (const service& each : input.objects.services)
    {
        if (!input.services_with_references.contains(each.id))
        {
            warnings.add(each, "", rule,
                         "has no reference, so no caller reaches it");
        }
    }
}

void warn_service_not_in_data_centre(const rule_context& input,
                                     std::string_view rule,
                                     error_list& warnings)
{
    std::set<std::pair<service_id, data_centre_id>> present;
    for (const target& each : input.objects.targets)
    {
        if (each.wish == target_wish::serve)
        {
            present.emplace(each.service, each.data_centre);
        }
    }
    for (const service& each : input.objects.services)
    {
        for (const data_centre& zone : input.objects.data_centres)
        {
            if (zone.wish == data_centre_wish::in_service &&
                input.services_with_references.contains(each.id) &&
                !present.contains({each.id, zone.id}))
            {
                warnings.add(each, "", rule,
                             "has no serving target in data centre " +
                                 zone.name +
                                 "; its callers there are served elsewhere");
            }
        }
    }
}

void warn_service_not_served(const rule_context& input, std::string_view rule,
                             error_list& warnings)
{
    std::set<service_id> served;
    for (const target& each : input.objects.targets)
    {
        if (each.wish == target_wish::serve &&
            input.in_service(each.data_centre))
        {
            served.insert(each.service);
        }
    }
    for (const service& each : input.objects.services)
    {
        if (input.services_with_references.contains(each.id) &&
            !served.contains(each.id))
        {
            warnings.add(
                each, "", rule,
                "has no target that takes new flows; all its new flows "
                "will be refused");
        }
    }
}

void warn_shared_address(const rule_context& input, std::string_view rule,
                         error_list& warnings)
{
    std::unordered_map<std::uint64_t, const target*> first_target_by_address;
    first_target_by_address.reserve(input.objects.targets.size());
    for (const target& each : input.objects.targets)
    {
        const std::uint64_t key =
            (std::uint64_t{each.address.address.value} << 16U) |
            each.address.port;
        const auto [earlier, added] =
            first_target_by_address.emplace(key, &each);
        if (!added && earlier->second->service != each.service)
        {
            warnings.add(each, "address", rule,
                         "is also the address of target " +
                             std::to_string(earlier->second->id.value) +
                             " of " + input.label(earlier->second->service));
        }
    }
}

void warn_network_limit(const rule_context& input, std::string_view rule,
                        error_list& warnings)
{
    for (const service& each : input.objects.services)
    {
        if (each.new_flows_per_second != 0 &&
            each.new_flows_per_second_per_network > each.new_flows_per_second)
        {
            warnings.add(each, "new_flows_per_second_per_network", rule,
                         "is above new_flows_per_second and has no effect");
        }
    }
}

// Comparisons with the set in effect.

void warn_reference_moved(const rule_context& input, std::string_view rule,
                          error_list& warnings)
{
    for (const reference& each : input.objects.references)
    {
        const reference* before = input.previous->find_reference(
            each.public_endpoint, each.transport);
        if (before != nullptr && before->service != each.service)
        {
            warnings.add(each, "service", rule,
                         "new flows to " + to_string(each.public_endpoint) +
                             " go to " + input.label(each.service) +
                             " instead of service " +
                             std::to_string(before->service.value));
        }
    }
}

void warn_target_replaced(const rule_context& input, std::string_view rule,
                          error_list& warnings)
{
    for (const target& each : input.objects.targets)
    {
        const target* before = input.previous->find_target(each.id);
        if (before != nullptr && (before->service != each.service ||
                                  before->address != each.address))
        {
            warnings.add(
                each, before->service != each.service ? "service" : "address",
                rule,
                "another backend server takes the identifier of this "
                "target, so established flows of the former one end; "
                "use a new identifier and drain the old target");
        }
    }
}

void warn_removed_without_drain(const rule_context& input,
                                std::string_view rule, error_list& warnings)
{
    std::unordered_set<target_id> kept;
    for (const target& each : input.objects.targets)
    {
        kept.insert(each.id);
    }
    for (const target& each : input.previous->objects().targets)
    {
        if (each.wish == target_wish::serve && !kept.contains(each.id) &&
            input.in_service(each.data_centre))
        {
            warnings.add(each, "", rule,
                         "is removed without a drain before it, so its "
                         "established flows end");
        }
    }
}

void warn_name_reused(const rule_context& input, std::string_view rule,
                      error_list& warnings)
{
    std::unordered_map<std::string_view, service_id> before;
    for (const service& each : input.previous->objects().services)
    {
        before.emplace(each.name, each.id);
    }
    for (const service& each : input.objects.services)
    {
        const auto earlier = before.find(each.name);
        if (earlier != before.end() && earlier->second != each.id)
        {
            warnings.add(each, "name", rule,
                         "was the name of service " +
                             std::to_string(earlier->second.value) + " before");
        }
    }
}

void warn_data_centre_removed(const rule_context& input, std::string_view rule,
                              error_list& warnings)
{
    std::set<data_centre_id> now;
    for (const data_centre& each : input.objects.data_centres)
    {
        now.insert(each.id);
    }
    for (const data_centre& each : input.previous->objects().data_centres)
    {
        if (each.wish == data_centre_wish::in_service && !now.contains(each.id))
        {
            warnings.add(
                each, "", rule,
                "is removed while in service, so its established flows "
                "end; take it out of service first");
        }
    }
}

constexpr std::array set_rules{
    rule_row{"service_without_references", warn_service_without_references},
    rule_row{"service_not_in_data_centre", warn_service_not_in_data_centre},
    rule_row{"service_not_served", warn_service_not_served},
    rule_row{"target_address_shared", warn_shared_address},
    rule_row{"network_limit_above_service", warn_network_limit},
};

constexpr std::array change_rules{
    rule_row{"reference_moved", warn_reference_moved},
    rule_row{"target_replaced", warn_target_replaced},
    rule_row{"target_removed_without_drain", warn_removed_without_drain},
    rule_row{"service_name_reused", warn_name_reused},
    rule_row{"data_centre_removed_in_service", warn_data_centre_removed},
};

} // namespace

std::vector<object_error> find_warnings(const published_objects& objects,
                                        const published_set* previous)
{
    rule_context input(objects);
    input.previous = previous;
    error_list warnings;
    for (const rule_row& row : set_rules)
    {
        row.check(input, row.id, warnings);
    }
    if (previous != nullptr)
    {
        for (const rule_row& row : change_rules)
        {
            row.check(input, row.id, warnings);
        }
    }
    return std::move(warnings).take();
}

std::vector<std::string_view> warning_ids()
{
    std::vector<std::string_view> ids;
    ids.reserve(set_rules.size() + change_rules.size());
    for (const rule_row& row : set_rules)
    {
        ids.push_back(row.id);
    }
    for (const rule_row& row : change_rules)
    {
        ids.push_back(row.id);
    }
    return ids;
}

} // namespace catkinkeel
