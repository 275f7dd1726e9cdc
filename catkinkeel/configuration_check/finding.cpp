// Evaluation and text of findings.

#include "catkinkeel/configuration_check/configuration_check.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace catkinkeel::configuration_check
{

bool has_faults(const std::vector<finding>& findings)
{
    return std::ranges::any_of(
        findings, [](const finding& each)
        { return each.severity != finding_severity::difference; });
}

std::string to_text(const std::vector<finding>& findings)
{
    constexpr std::array<std::string_view, 3> severities{"error", "warning",
                                                         "difference"};
    std::array<std::size_t, severities.size()> counts{};
    std::string text;
    for (const finding& each : findings)
    {
        const auto severity = static_cast<std::size_t>(each.severity);
        ++counts[severity];
        std::string line(severities[severity]);
        line += ": " + each.object + (each.object.empty() ? "" : ": ") +
                each.message;
        std::ranges::replace_if(
            line, [](char c) { return static_cast<unsigned char>(c) < 0x20U; },
            '?');
        text += line + "\n";
    }
    for (std::size_t i = 0; i < counts.size(); ++i)
    {
        text += std::string(i == 0 ? "" : ", ") + std::to_string(counts[i]) +
                " " + std::string(severities[i]) + (counts[i] == 1 ? "" : "s");
    }
    return text + "\n";
}

} // namespace catkinkeel::configuration_check
