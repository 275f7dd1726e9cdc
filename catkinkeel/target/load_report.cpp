#include "catkinkeel/target/load_report.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace catkinkeel
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t top_bit = 1ULL << 63U;
constexpr std::size_t max_instance_bytes = 128;

struct state_name
{
    std::string_view name;
    report_state state;
};

constexpr std::array state_names{
    state_name{"ready", report_state::ready},
    state_name{"cold", report_state::cold},
    state_name{"draining", report_state::draining},
};

bool read_instance(const json& value, load_report& report)
{
    if (value.is_number_unsigned())
    {
        report.instance = value.get<std::uint64_t>();
        return report.instance < top_bit;
    }
    if (!value.is_string())
    {
        return false;
    }
    const auto& text = value.get_ref<const std::string&>();
    report.instance = XXH64(text.data(), text.size(), 0) | top_bit;
    return !text.empty() && text.size() <= max_instance_bytes;
}

bool read_state(const json& value, load_report& report)
{
    if (!value.is_string())
    {
        return false;
    }
    const auto* const found = std::ranges::find(
        state_names, value.get_ref<const std::string&>(), &state_name::name);
    if (found == state_names.end())
    {
        return false;
    }
    report.state = found->state;
    return true;
}

template <std::uint32_t load_report::*Count>
bool read_count(const json& value, load_report& report)
{
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max())
    {
        return false;
    }
    report.*Count = value.get<std::uint32_t>();
    return true;
}

struct report_member
{
    std::string_view name;
    bool (*read)(const json&, load_report&);
};

constexpr std::array report_members{
    report_member{"instance", &read_instance},
    report_member{"state", &read_state},
    report_member{"connections", &read_count<&load_report::connections>},
    report_member{"busy_slots", &read_count<&load_report::busy_slots>},
};

failure invalid(std::string_view member, std::string_view rule)
{
    return {failure_kind::invalid_input,
            "load report: " + std::string(member) + " " + std::string(rule)};
}

} // namespace

outcome<load_report> parse_load_report(std::string_view text)
{
    if (text.size() > max_load_report_bytes)
    {
        return failure{failure_kind::limit_exceeded,
                       "load report: longer than 4096 bytes"};
    }
    std::array<int, report_members.size()> key_counts{};
    const auto count_members =
        [&](int depth, json::parse_event_t event, const json& parsed)
    {
        if (depth == 1 && event == json::parse_event_t::key)
        {
            const auto* const row = std::ranges::find(
                report_members, parsed.get_ref<const std::string&>(),
                &report_member::name);
            if (row != report_members.end())
            {
                ++key_counts[static_cast<std::size_t>(row -
                                                      report_members.begin())];
            }
        }
        return true;
    };
    const json body = json::parse(text, count_members, false);
    if (!body.is_object())
    {
        return invalid("body", "is not a JSON object");
    }
    load_report report;
    for (std::size_t i = 0; i < report_members.size(); ++i)
    {
        const report_member& row = report_members[i];
        if (key_counts[i] != 1)
        {
            return invalid(row.name, "must be present exactly once");
        }
        if (!row.read(body.at(std::string(row.name)), report))
        {
            return invalid(row.name, "has a wrong type or value");
        }
    }
    return report;
}

} // namespace catkinkeel
