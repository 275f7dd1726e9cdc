#include "catkinkeel/settings/internal/keys.hpp"

#include <array>
#include <map>
#include <set>

namespace catkinkeel::settings_internal
{

namespace
{

using violations = std::vector<rule_violation>;

// Both listen on TCP.
violations control_and_operators_differ(const daemon_settings& settings)
{
    if (settings.control == settings.operators)
    {
        return {{"endpoints.operators", "is the same as endpoints.control (" +
                                            to_string(settings.control) + ")"}};
    }
    return {};
}

// A refusal sent to the daemon itself would be taken for a caller's packet.
violations egress_is_not_this_daemon(const daemon_settings& settings)
{
    if (settings.egress == settings.packets)
    {
        return {{"endpoints.egress", "is the same as endpoints.packets (" +
                                         to_string(settings.egress) + ")"}};
    }
    return {};
}

violations peers_are_distinct(const daemon_settings& settings)
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
        if (const auto [at, fresh] = controls.emplace(peer.control, peer.id);
            !fresh)
        {
            found.push_back({"peers", "peers " +
                                          std::to_string(at->second.value) +
                                          " and " + id +
                                          " have the same control endpoint"});
        }
        if (const auto [at, fresh] = packets.emplace(peer.packets, peer.id);
            !fresh)
        {
            found.push_back({"peers", "peers " +
                                          std::to_string(at->second.value) +
                                          " and " + id +
                                          " have the same packets endpoint"});
        }
    }
    return found;
}

// One list of peers may serve all VMs, so it may contain this VM itself. An
// entry that shares only some of its identity means a duplicate identifier or
// a copied file.
violations own_entry_matches(const daemon_settings& settings)
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
    control_and_operators_differ,
    egress_is_not_this_daemon,
    peers_are_distinct,
    own_entry_matches,
};

} // namespace

std::vector<rule_violation> check_rules(const daemon_settings& settings)
{
    violations found;
    for (const rule apply : rules)
    {
        for (rule_violation& violation : apply(settings))
        {
            found.push_back(std::move(violation));
        }
    }
    return found;
}

} // namespace catkinkeel::settings_internal
