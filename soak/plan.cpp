#include "soak/plan.hpp"

#include <algorithm>

namespace catkinkeel::soak
{

namespace
{

std::string milliseconds(duration time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

std::string service_name(std::uint32_t number)
{
    return number == 0 ? "orderdesk" : "platefiles";
}

outcome<done> check(const soak_plan& plan)
{
    const auto fits = [](std::uint32_t count)
    {
        return count > 0 && count <= most_of_a_kind;
    };
    if (!fits(plan.daemons) || !fits(plan.targets))
    {
        return failure{failure_kind::invalid_input,
                       "daemons and targets: 1 to " +
                           std::to_string(most_of_a_kind)};
    }
    if (plan.rate == 0)
    {
        return failure{failure_kind::invalid_input, "rate: at least 1"};
    }
    if (plan.network == 0)
    {
        return failure{failure_kind::invalid_input, "network: 1 to 255"};
    }
    return done{};
}

std::string soak_plan::settings(std::uint32_t number) const
{
    const auto quoted = [](const auto& value)
    {
        return "\"" + to_string(value) + "\"\n";
    };
    std::string text = "node_name: \"vm-" + std::to_string(number) +
                       "\"\nzone: \"" + data_centre(number) +
                       "\"\ninternal_ports:\n  - 7720\n  - 7735\nseeds:\n";
    for (std::uint32_t i = 0; i < std::min(daemons, 3U); ++i)
    {
        text += "  - " + quoted(endpoint{daemon(i), 8166});
    }
    text += "listen:\n  datagram_address: " + quoted(packets(number)) +
            "  readiness_address: " + quoted(readiness(number)) +
            "  control: " + quoted(endpoint{daemon(number), 8166}) +
            "bounds:\n  drain_ms: " + milliseconds(drain_bound) +
            "\n  grace_s: " + std::to_string(grace / 1s) +
            "\n  config_apply_ms: " + milliseconds(terms_bound) +
            "\n  evacuation_ms: " + milliseconds(evacuation_bound) +
            "\n  flow_max_s: " + std::to_string(flow_lifetime / 1s) +
            "\nhash: \"" + std::string(spreading()) +
            "\"\nforwarding_mode: \"echo\"\nplatform:\n  address: " +
            quoted(proxy(number)) + "  forwarding_mode: \"read\"\n";
    return text;
}

} // namespace catkinkeel::soak
