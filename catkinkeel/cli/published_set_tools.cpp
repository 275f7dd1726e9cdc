#include "catkinkeel/cli/published_set_tools.hpp"

#include "catkinkeel/cli/internal/set_parser.hpp"
#include "catkinkeel/contract/diff.hpp"
#include "catkinkeel/operators/enum_names.hpp"

#include <array>
#include <span>
#include <string_view>

namespace catkinkeel
{

namespace
{

using namespace cli_internal;

std::string format_value(const std::string& value)
{
    return value;
}
std::string format_value(std::uint32_t value)
{
    return std::to_string(value);
}
std::string format_value(const endpoint& value)
{
    return to_string(value);
}
std::string format_value(protocol value)
{
    return to_string(value);
}
std::string format_value(target_wish value)
{
    return std::string(name_of(value));
}
std::string format_value(data_centre_wish value)
{
    return std::string(name_of(value));
}
template <class Tag, class Rep>
std::string format_value(identifier<Tag, Rep> value)
{
    return std::to_string(value.value);
}

/// A field of an object: its key in the published format and a function that
/// formats its value.
template <class Object>
struct object_field
{
    std::string_view key;
    std::string (*format)(const Object&);
};

template <class Object, auto Member>
std::string format_member(const Object& object)
{
    return format_value(object.*Member);
}

constexpr std::array service_fields{
    object_field<service>{"name", format_member<service, &service::name>},
    object_field<service>{
        "new_flows_per_second",
        format_member<service, &service::new_flows_per_second>},
    object_field<service>{
        "new_flows_per_second_per_network",
        format_member<service, &service::new_flows_per_second_per_network>},
};
constexpr std::array data_centre_fields{
    object_field<data_centre>{"name",
                              format_member<data_centre, &data_centre::name>},
    object_field<data_centre>{"region",
                              format_member<data_centre, &data_centre::region>},
    object_field<data_centre>{"state",
                              format_member<data_centre, &data_centre::wish>},
};
constexpr std::array target_fields{
    object_field<target>{"service", format_member<target, &target::service>},
    object_field<target>{"data_centre",
                         format_member<target, &target::data_centre>},
    object_field<target>{"address", format_member<target, &target::address>},
    object_field<target>{"report", format_member<target, &target::report>},
    object_field<target>{"weight", format_member<target, &target::weight>},
    object_field<target>{"state", format_member<target, &target::wish>},
    object_field<target>{"slots", format_member<target, &target::slots>},
    object_field<target>{"connections",
                         format_member<target, &target::connections>},
};
constexpr std::array reference_fields{
    object_field<reference>{
        "address", format_member<reference, &reference::public_endpoint>},
    object_field<reference>{"protocol",
                            format_member<reference, &reference::transport>},
    object_field<reference>{"service",
                            format_member<reference, &reference::service>},
};

template <class Object>
void append_changes(const std::string& kind,
                    const object_changes<Object>& differences,
                    std::span<const object_field<Object>> fields,
                    std::vector<set_change>& changes)
{
    const auto label = [&](const Object& object)
    {
        return kind + " " + std::to_string(object.id.value);
    };
    const auto format_all_fields = [&](const Object& object)
    {
        std::string text;
        for (const object_field<Object>& field : fields)
        {
            text += text.empty() ? "" : ", ";
            text += field.key;
            text += " ";
            text += field.format(object);
        }
        return text;
    };
    for (const Object& object : differences.added)
    {
        changes.push_back({"added", label(object), format_all_fields(object)});
    }
    for (const Object& object : differences.removed)
    {
        changes.push_back(
            {"removed", label(object), format_all_fields(object)});
    }
    for (const auto& [before, after] : differences.changed)
    {
        std::string text;
        for (const object_field<Object>& field : fields)
        {
            const std::string old_value = field.format(before);
            const std::string new_value = field.format(after);
            if (old_value != new_value)
            {
                text += text.empty() ? "" : ", ";
                text += field.key;
                text += " ";
                text += old_value;
                text += " -> ";
                text += new_value;
            }
        }
        changes.push_back({"changed", label(after), text});
    }
}

outcome<published_set>
parse_valid_set(const std::vector<object_document>& documents)
{
    parsed_set candidate = parse_set(documents);
    const std::vector<set_finding> errors =
        candidate.findings.empty()
            ? check_set_rules(candidate, documents, false)
            : candidate.findings;
    if (!errors.empty())
    {
        std::string text = "the set is invalid";
        for (const set_finding& finding : errors)
        {
            text += "\n" + to_string(finding);
        }
        return failure{failure_kind::invalid_input, text};
    }
    return published_set(std::move(candidate.objects));
}

} // namespace

std::vector<set_finding> toml_published_set_tools::check(
    const std::vector<object_document>& documents) const
{
    const parsed_set candidate = parse_set(documents);
    return candidate.findings.empty()
               ? check_set_rules(candidate, documents, true)
               : candidate.findings;
}

outcome<std::vector<set_change>>
toml_published_set_tools::diff(const std::vector<object_document>& before,
                               const std::vector<object_document>& after) const
{
    const auto old_set = parse_valid_set(before);
    if (!old_set)
    {
        return old_set.error();
    }
    const auto new_set = parse_valid_set(after);
    if (!new_set)
    {
        return new_set.error();
    }
    const set_diff differences = diff_sets(old_set.value(), new_set.value());
    std::vector<set_change> changes;
    append_changes<data_centre>("data_centre", differences.data_centres,
                                data_centre_fields, changes);
    append_changes<service>("service", differences.services, service_fields,
                            changes);
    append_changes<reference>("reference", differences.references,
                              reference_fields, changes);
    append_changes<target>("target", differences.targets, target_fields,
                           changes);
    for (const std::string& effect : describe(differences))
    {
        changes.push_back({"effect", "", effect});
    }
    return changes;
}

std::string to_string(const set_finding& finding)
{
    std::string text = finding.document;
    if (finding.line > 0)
    {
        text += ", line " + std::to_string(finding.line);
    }
    for (const std::string& component : {finding.object, finding.field})
    {
        text += (text.empty() || component.empty() ? "" : ": ") + component;
    }
    text += text.empty() ? "" : ": ";
    text += finding.warning ? "warning: " : "";
    text += finding.message;
    return finding.rule.empty() ? text : text + " [" + finding.rule + "]";
}

} // namespace catkinkeel
