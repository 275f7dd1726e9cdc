#include "catkinkeel/settings/internal/keys.hpp"

#include <array>
#include <map>
#include <set>

namespace catkinkeel::settings_internal
{

namespace
{

using violations = std::vector<rule_violation>;

// Both are TCP listeners, so they can't share an endpoint.
violations check_control_and_operators(const daemon_settings& settings)
{
    if (settings.control == settings.operators)
    {
        return {{"endpoints.operators", "is the same as endpoints.control (" +
                                            to_string(settings.control) + ")"}};
    }
    return {};
}

// The daemon would process a refusal that it sent to itself as a packet of a
// caller.
violations check_egress(const daemon_settings& settings)
{
    if (settings.egress == settings.packets)
    {
        return {{"endpoints.egress", "is the same as endpoints.packets (" +
                                         to_string(settings.egress) + ")"}};
    }
    return {};
}

// Each peer's identifier and endpoints must be its own, or messages and packets
// for one peer would be sent to another.
violations check_distinct_peers(const daemon_settings& settings)
{
    violations found;
    std::set<vm_id> ids;
    std::map<endpoint, vm_id> controls;
    std::map<endpoint, vm_id> packets;
    for (const peer_settings& peer : settings.peers)
    {
        const std::string id = std::to_string(peer.id.value);
        if (!ids.insert(peer.id).second)
        {
            found.push_back({"peers", "id " + id + " occurs twice"});
            continue;
        }
        if (const auto [existing, inserted] =
                controls.emplace(peer.control, peer.id);
            !inserted)
        {
            found.push_back(
                {"peers", "peers " + std::to_string(existing->second.value) +
                              " and " + id +
                              " have the same control endpoint"});
        }
        if (const auto [existing, inserted] =
                packets.emplace(peer.packets, peer.id);
            !inserted)
        {
            found.push_back(
                {"peers", "peers " + std::to_string(existing->second.value) +
                              " and " + id +
                              " have the same packets endpoint"});
        }
    }
    return found;
}

// All VMs may use the same list of peers, so it may contain this VM. An entry
// that matches this VM only in part indicates a duplicate identifier or a
// settings file copied from another VM.
violations check_own_entry(const daemon_settings& settings)
{
    violations found;
    const peer_settings self{settings.id, settings.data_centre,
                             settings.control, settings.packets};
    for (const peer_settings& peer : settings.peers)
    {
        if (peer != self &&
            (peer.id == self.id || peer.control == self.control ||
             peer.packets == self.packets))
        {
            found.push_back(
                {"peers", "peer " + std::to_string(peer.id.value) +
                              " has the id or an endpoint of this VM but "
                              "differs from it"});
        }
    }
    return found;
}

using rule = violations (*)(const daemon_settings&);

constexpr std::array<rule, 4> rules{
    check_control_and_operators,
    check_egress,
    check_distinct_peers,
    check_own_entry,
};

} // namespace

std::vector<rule_violation>
check_cross_key_rules(const daemon_settings& settings)
{
    violations found;
    for (const rule check : rules)
    {
        for (rule_violation& violation : check(settings))
        {
            found.push_back(std::move(violation));
        }
    }
    return found;
}

} // namespace catkinkeel::settings_internal
