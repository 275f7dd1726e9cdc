#include "catkinkeel/contract/diff.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel
{

namespace
{

using lines = std::vector<std::string>;

template <class Id>
std::string name_or_id(const std::map<Id, std::string>& names, Id id)
{
    const auto found = names.find(id);
    return found == names.end() ? std::to_string(id.value) : found->second;
}

std::string label(const set_diff& diff, service_id id)
{
    return "service " + name_or_id(diff.service_names, id);
}

std::string label(const set_diff& diff, data_centre_id id)
{
    return "data centre " + name_or_id(diff.data_centre_names, id);
}

std::string label(const set_diff& diff, const target& object)
{
    return "target " + std::to_string(object.id.value) + " (" +
           to_string(object.address) + ", " + label(diff, object.service) +
           ", " + label(diff, object.data_centre) + ")";
}

std::string label(const endpoint& address, protocol transport)
{
    return to_string(address) + " " + to_string(transport);
}

void describe_data_centres(const set_diff& diff, lines& out)
{
    for (const data_centre_id id : diff.removed_from_service)
    {
        out.push_back(label(diff, id) +
                      " is taken out of service: established flows that end "
                      "there are abandoned; new flows go to the other data "
                      "centres at once");
    }
    for (const data_centre_id id : diff.returned_to_service)
    {
        out.push_back(label(diff, id) +
                      " returns to service: established flows stay where they "
                      "are; its targets start cold and get new flows step by "
                      "step");
    }
    for (const data_centre& each : diff.data_centres.added)
    {
        out.push_back(label(diff, each.id) +
                      " is added: established flows stay where they are; its "
                      "targets start cold");
    }
    for (const data_centre& each : diff.data_centres.removed)
    {
        out.push_back(label(diff, each.id) +
                      " is removed: established flows that end there are "
                      "abandoned; new flows go to the other data centres");
    }
    for (const auto& [before, after] : diff.data_centres.changed)
    {
        if (before.name != after.name)
        {
            out.push_back("data centre " + before.name + " is renamed to " +
                          after.name + ": no effect on flows");
        }
        if (before.region != after.region)
        {
            out.push_back(label(diff, after.id) + " moves to region " +
                          std::to_string(after.region.value));
        }
    }
}

void describe_references(const set_diff& diff, lines& out)
{
    for (const moved_reference& each : diff.moved_references)
    {
        out.push_back(
            label(each.public_endpoint, each.transport) + " moves from " +
            label(diff, each.before) + " to " + label(diff, each.after) +
            ": established flows stay with " + label(diff, each.before) +
            "; new flows go to " + label(diff, each.after));
    }
    const auto is_moved = [&](const reference& object)
    {
        return std::ranges::any_of(
            diff.moved_references,
            [&](const moved_reference& each)
            {
                return each.public_endpoint == object.public_endpoint &&
                       each.transport == object.transport;
            });
    };
    const auto add_unbound_line = [&](const reference& object)
    {
        out.push_back(label(object.public_endpoint, object.transport) +
                      " is no longer bound to " + label(diff, object.service) +
                      ": established flows go on; new flows are refused");
    };
    const auto add_bound_line = [&](const reference& object)
    {
        out.push_back(label(object.public_endpoint, object.transport) +
                      " is bound to " + label(diff, object.service) +
                      ": new flows are accepted");
    };
    for (const reference& each : diff.references.removed)
    {
        if (!is_moved(each))
        {
            add_unbound_line(each);
        }
    }
    for (const auto& [before, after] : diff.references.changed)
    {
        if (before.public_endpoint != after.public_endpoint ||
            before.transport != after.transport)
        {
            add_unbound_line(before);
            add_bound_line(after);
        }
    }
    for (const reference& each : diff.references.added)
    {
        if (!is_moved(each))
        {
            add_bound_line(each);
        }
    }
}

void describe_services(const set_diff& diff, lines& out)
{
    for (const service& each : diff.services.added)
    {
        out.push_back(label(diff, each.id) + " is added");
    }
    for (const service& each : diff.services.removed)
    {
        out.push_back(label(diff, each.id) + " is removed with its targets");
    }
    for (const auto& [before, after] : diff.services.changed)
    {
        if (before.name != after.name)
        {
            out.push_back("service " + before.name + " is renamed to " +
                          after.name + ": no effect on flows");
        }
        if (before.new_flows_per_second != after.new_flows_per_second ||
            before.new_flows_per_second_per_network !=
                after.new_flows_per_second_per_network)
        {
            out.push_back(
                label(diff, after.id) + " admits " +
                std::to_string(after.new_flows_per_second) +
                " new flows a second, " +
                std::to_string(after.new_flows_per_second_per_network) +
                " from one network (0 is no limit): established flows are not "
                "affected");
        }
    }
}

void describe_target_change(const set_diff& diff,
                            const changed_object<target>& change, lines& out)
{
    const auto& [before, after] = change;
    const std::string target_label = label(diff, after);
    if (before.service != after.service || before.address != after.address)
    {
        out.push_back(target_label + " takes the identifier of " +
                      label(diff, before) +
                      ": established flows of the former end; the new one "
                      "starts cold");
        return;
    }
    if (before.wish != after.wish)
    {
        out.push_back(
            after.wish == target_wish::drain
                ? target_label + " is drained: established flows stay until "
                                 "they end; it gets no new flows"
                : target_label + " serves again: new flows are placed on it "
                                 "again");
    }
    if (before.weight != after.weight)
    {
        out.push_back(target_label + " changes weight from " +
                      std::to_string(before.weight) + " to " +
                      std::to_string(after.weight) +
                      ": established flows stay; its share of new flows "
                      "changes");
    }
    if (before.slots != after.slots || before.connections != after.connections)
    {
        out.push_back(target_label + " has " + std::to_string(after.slots) +
                      " slots and " + std::to_string(after.connections) +
                      " connections: established flows stay; new flows follow "
                      "the new capacity");
    }
    if (before.data_centre != after.data_centre)
    {
        out.push_back(target_label + " was in " +
                      label(diff, before.data_centre) +
                      ": established flows stay");
    }
    if (before.report != after.report)
    {
        out.push_back(target_label + " reports its load at " +
                      to_string(after.report) + ": no effect on flows");
    }
}

void describe_targets(const set_diff& diff, lines& out)
{
    for (const target& each : diff.targets.added)
    {
        out.push_back(label(diff, each) +
                      " is added: it starts cold and gets new flows step by "
                      "step; established flows stay where they are");
    }
    for (const target& each : diff.targets.removed)
    {
        out.push_back(label(diff, each) +
                      " is removed: its established flows end; it gets no new "
                      "flows");
    }
    for (const auto& each : diff.targets.changed)
    {
        describe_target_change(diff, each, out);
    }
}

constexpr std::array sections{&describe_data_centres, &describe_references,
                              &describe_services, &describe_targets};

} // namespace

std::vector<std::string> describe(const set_diff& diff)
{
    lines out;
    for (const auto section : sections)
    {
        section(diff, out);
    }
    return out;
}

} // namespace catkinkeel
