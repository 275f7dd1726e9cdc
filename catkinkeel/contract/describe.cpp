#include "catkinkeel/contract/diff.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel
{

namespace
{

using lines = std::vector<std::string>;

template <class Id>
std::string name_in(const std::map<Id, std::string>& names, Id id)
{
    const auto found = names.find(id);
    return found == names.end() ? std::to_string(id.value) : found->second;
}

std::string name(const set_diff& diff, service_id id)
{
    return "service " + name_in(diff.service_names, id);
}

std::string name(const set_diff& diff, data_centre_id id)
{
    return "data centre " + name_in(diff.data_centre_names, id);
}

std::string name(const set_diff& diff, const target& object)
{
    return "target " + std::to_string(object.id.value) + " (" +
           to_string(object.address) + ", " + name(diff, object.service) +
           ", " + name(diff, object.data_centre) + ")";
}

std::string name(const endpoint& address, protocol transport)
{
    return to_string(address) + " " + to_string(transport);
}

void data_centres(const set_diff& diff, lines& out)
{
    for (const data_centre_id id : diff.taken_out)
    {
        out.push_back(name(diff, id) +
                      " is taken out of service: established flows that end "
                      "there are abandoned; new flows go to the other data "
                      "centres at once");
    }
    for (const data_centre_id id : diff.brought_in)
    {
        out.push_back(name(diff, id) +
                      " returns to service: established flows stay where they "
                      "are; its targets start cold and get new flows step by "
                      "step");
    }
    for (const data_centre& each : diff.data_centres.added)
    {
        out.push_back(name(diff, each.id) +
                      " is added: established flows stay where they are; its "
                      "targets start cold");
    }
    for (const data_centre& each : diff.data_centres.removed)
    {
        out.push_back(name(diff, each.id) +
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
            out.push_back(name(diff, after.id) + " moves to region " +
                          std::to_string(after.region.value));
        }
    }
}

void references(const set_diff& diff, lines& out)
{
    for (const moved_reference& each : diff.moved_references)
    {
        out.push_back(
            name(each.public_endpoint, each.transport) + " moves from " +
            name(diff, each.before) + " to " + name(diff, each.after) +
            ": established flows stay with " + name(diff, each.before) +
            "; new flows go to " + name(diff, each.after));
    }
    const auto moved = [&](const reference& object)
    {
        return std::ranges::any_of(
            diff.moved_references,
            [&](const moved_reference& each)
            {
                return each.public_endpoint == object.public_endpoint &&
                       each.transport == object.transport;
            });
    };
    const auto closes = [&](const reference& object)
    {
        out.push_back(name(object.public_endpoint, object.transport) +
                      " is no longer bound to " + name(diff, object.service) +
                      ": established flows go on; new flows are refused");
    };
    const auto opens = [&](const reference& object)
    {
        out.push_back(name(object.public_endpoint, object.transport) +
                      " is bound to " + name(diff, object.service) +
                      ": new flows are accepted");
    };
    for (const reference& each : diff.references.removed)
    {
        if (!moved(each))
        {
            closes(each);
        }
    }
    for (const auto& [before, after] : diff.references.changed)
    {
        if (before.public_endpoint != after.public_endpoint ||
            before.transport != after.transport)
        {
            closes(before);
            opens(after);
        }
    }
    for (const reference& each : diff.references.added)
    {
        if (!moved(each))
        {
            opens(each);
        }
    }
}

void services(const set_diff& diff, lines& out)
{
    for (const service& each : diff.services.added)
    {
        out.push_back(name(diff, each.id) + " is added");
    }
    for (const service& each : diff.services.removed)
    {
        out.push_back(name(diff, each.id) + " is removed with its targets");
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
                name(diff, after.id) + " admits " +
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
    const std::string who = name(diff, after);
    if (before.service != after.service || before.address != after.address)
    {
        out.push_back(who + " takes the identifier of " + name(diff, before) +
                      ": established flows of the former end; the new one "
                      "starts cold");
        return;
    }
    if (before.wish != after.wish)
    {
        out.push_back(after.wish == target_wish::drain
                          ? who + " is drained: established flows stay until "
                                  "they end; it gets no new flows"
                          : who + " serves again: new flows are placed on it "
                                  "again");
    }
    if (before.weight != after.weight)
    {
        out.push_back(who + " changes weight from " +
                      std::to_string(before.weight) + " to " +
                      std::to_string(after.weight) +
                      ": established flows stay; its share of new flows "
                      "changes");
    }
    if (before.slots != after.slots || before.connections != after.connections)
    {
        out.push_back(who + " has " + std::to_string(after.slots) +
                      " slots and " + std::to_string(after.connections) +
                      " connections: established flows stay; new flows follow "
                      "the new capacity");
    }
    if (before.data_centre != after.data_centre)
    {
        out.push_back(who + " was in " + name(diff, before.data_centre) +
                      ": established flows stay");
    }
    if (before.report != after.report)
    {
        out.push_back(who + " reports its load at " + to_string(after.report) +
                      ": no effect on flows");
    }
}

void targets(const set_diff& diff, lines& out)
{
    for (const target& each : diff.targets.added)
    {
        out.push_back(name(diff, each) +
                      " is added: it starts cold and gets new flows step by "
                      "step; established flows stay where they are");
    }
    for (const target& each : diff.targets.removed)
    {
        out.push_back(name(diff, each) +
                      " is removed: its established flows end; it gets no new "
                      "flows");
    }
    for (const auto& each : diff.targets.changed)
    {
        describe_target_change(diff, each, out);
    }
}

constexpr std::array sections{&data_centres, &references, &services, &targets};

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
