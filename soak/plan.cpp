#include "soak/plan.hpp"

#include <algorithm>

namespace catkinkeel::soak
{

namespace
{

std::string milliseconds_text(duration interval)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(interval)
            .count());
}

} // namespace

std::string service_name(std::uint32_t index)
{
    return index == 0 ? "orderdesk" : "platefiles";
}

outcome<done> validate(const soak_plan& plan)
{
    const auto is_valid_count = [](std::uint32_t count)
    {
        return count > 0 && count <= max_hosts_per_network;
    };
    if (!is_valid_count(plan.daemon_count) ||
        !is_valid_count(plan.target_count))
    {
        return failure{failure_kind::invalid_input,
                       "daemons and targets: 1 to " +
                           std::to_string(max_hosts_per_network)};
    }
    if (plan.flows_per_second == 0)
    {
        return failure{failure_kind::invalid_input, "rate: at least 1"};
    }
    if (plan.fault_kinds == 0 || plan.fault_kinds > fault_kind_count)
    {
        return failure{failure_kind::invalid_input,
                       "fault kinds: 1 to " + std::to_string(fault_kind_count)};
    }
    if (plan.network == 0)
    {
        return failure{failure_kind::invalid_input, "network: 1 to 255"};
    }
    return done{};
}

std::string soak_plan::settings_text(std::uint32_t index) const
{
    const auto quoted = [](const auto& value)
    {
        return "\"" + to_string(value) + "\"\n";
    };
    std::string text = "node_name: \"vm-" + std::to_string(index) +
                       "\"\nzone: \"" + data_centre_name(index) +
                       "\"\ninternal_ports:\n  - 7720\n  - 7735\nseeds:\n";
    for (std::uint32_t i = 0; i < std::min(daemon_count, 3U); ++i)
    {
        text += "  - " + quoted(endpoint{daemon_address(i), 8166});
    }
    text +=
        "listen:\n  datagram_address: " + quoted(packet_endpoint(index)) +
        "  readiness_address: " + quoted(readiness_endpoint(index)) +
        "  control: " + quoted(endpoint{daemon_address(index), 8166}) +
        "bounds:\n  drain_ms: " + milliseconds_text(drain_limit) +
        "\n  grace_s: " + std::to_string(grace_period / 1s) +
        "\n  config_apply_ms: " + milliseconds_text(configuration_apply_limit) +
        "\n  evacuation_ms: " + milliseconds_text(evacuation_limit) +
        "\n  flow_max_s: " + std::to_string(max_flow_lifetime / 1s) +
        "\nhash: \"" + std::string(routing_policy_name()) +
        "\"\nforwarding_mode: \"echo\"\ncontracts: [health, "
        "recover]\nplatform:\n  "
        "address: " +
        quoted(proxy_endpoint(index)) + "  forwarding_mode: \"read\"\n";
    return text;
}

} // namespace catkinkeel::soak
