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
            "\n  grace_s: 6\n  config_apply_ms: " + milliseconds(terms_bound) +
            "\n  evacuation_ms: " + milliseconds(evacuation_bound) +
            "\n  flow_max_s: 60\nhash: \"steady\"\nforwarding_mode: \"echo\"\n"
            "platform:\n  address: " +
            quoted(proxy(number)) + "  forwarding_mode: \"read\"\n";
    return text;
}

} // namespace catkinkeel::soak
