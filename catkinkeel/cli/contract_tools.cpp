#include "catkinkeel/cli/contract_tools.hpp"

#include "catkinkeel/cli/internal/set_reading.hpp"
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

std::string text_of(const std::string& value)
{
    return value;
}
std::string text_of(std::uint32_t value)
{
    return std::to_string(value);
}
std::string text_of(const endpoint& value)
{
    return to_string(value);
}
std::string text_of(protocol value)
{
    return to_string(value);
}
std::string text_of(target_wish value)
{
    return std::string(name_of(value));
}
std::string text_of(data_centre_wish value)
{
    return std::string(name_of(value));
}
template <class Tag, class Rep>
std::string text_of(identifier<Tag, Rep> value)
{
    return std::to_string(value.value);
}

/// A field of an object under its key in the published format.
template <class Object>
struct shown_field
{
    std::string_view key;
    std::string (*text)(const Object&);
};

template <class Object, auto Member>
std::string member_text(const Object& object)
{
    return text_of(object.*Member);
}

constexpr std::array service_fields{
    shown_field<service>{"name", member_text<service, &service::name>},
    shown_field<service>{"new_flows_per_second",
                         member_text<service, &service::new_flows_per_second>},
    shown_field<service>{
        "new_flows_per_second_per_network",
        member_text<service, &service::new_flows_per_second_per_network>},
};
constexpr std::array data_centre_fields{
    shown_field<data_centre>{"name",
                             member_text<data_centre, &data_centre::name>},
    shown_field<data_centre>{"region",
                             member_text<data_centre, &data_centre::region>},
    shown_field<data_centre>{"state",
                             member_text<data_centre, &data_centre::wish>},
};
constexpr std::array target_fields{
    shown_field<target>{"service", member_text<target, &target::service>},
    shown_field<target>{"data_centre",
                        member_text<target, &target::data_centre>},
    shown_field<target>{"address", member_text<target, &target::address>},
    shown_field<target>{"report", member_text<target, &target::report>},
    shown_field<target>{"weight", member_text<target, &target::weight>},
    shown_field<target>{"state", member_text<target, &target::wish>},
    shown_field<target>{"slots", member_text<target, &target::slots>},
    shown_field<target>{"connections",
                        member_text<target, &target::connections>},
};
constexpr std::array reference_fields{
    shown_field<reference>{"address",
                           member_text<reference, &reference::public_endpoint>},
    shown_field<reference>{"protocol",
                           member_text<reference, &reference::transport>},
    shown_field<reference>{"service",
                           member_text<reference, &reference::service>},
};

template <class Object>
void list_changes(const std::string& kind, const object_changes<Object>& found,
                  std::span<const shown_field<Object>> fields,
                  std::vector<set_change>& changes)
{
    const auto label = [&](const Object& object)
    {
        return kind + " " + std::to_string(object.id.value);
    };
    const auto whole = [&](const Object& object)
    {
        std::string text;
        for (const shown_field<Object>& field : fields)
        {
            text += text.empty() ? "" : ", ";
            text += field.key;
            text += " ";
            text += field.text(object);
        }
        return text;
    };
    for (const Object& each : found.added)
    {
        changes.push_back({"added", label(each), whole(each)});
    }
    for (const Object& each : found.removed)
    {
        changes.push_back({"removed", label(each), whole(each)});
    }
    for (const auto& [before, after] : found.changed)
    {
        std::string text;
        for (const shown_field<Object>& field : fields)
        {
            const std::string former = field.text(before);
            const std::string now = field.text(after);
            if (former != now)
            {
                text += text.empty() ? "" : ", ";
                text += field.key;
                text += " ";
                text += former;
                text += " -> ";
                text += now;
            }
        }
        changes.push_back({"changed", label(after), text});
    }
}

outcome<published_set> legal_set(const std::vector<object_document>& documents)
{
    set_reading read = read_set(documents);
    const std::vector<set_finding> wrong =
        read.findings.empty() ? check_set_rules(read, documents, false)
                              : read.findings;
    if (!wrong.empty())
    {
        std::string text = "the set is not legal";
        for (const set_finding& each : wrong)
        {
            text += "\n" + to_string(each);
        }
        return failure{failure_kind::invalid_input, text};
    }
    return published_set(std::move(read.objects));
}

} // namespace

std::vector<set_finding> published_contract_tools::check(
    const std::vector<object_document>& documents) const
{
    const set_reading read = read_set(documents);
    return read.findings.empty() ? check_set_rules(read, documents, true)
                                 : read.findings;
}

outcome<std::vector<set_change>>
published_contract_tools::diff(const std::vector<object_document>& before,
                               const std::vector<object_document>& after) const
{
    const auto from = legal_set(before);
    if (!from)
    {
        return from.error();
    }
    const auto to = legal_set(after);
    if (!to)
    {
        return to.error();
    }
    const set_diff found = diff_sets(from.value(), to.value());
    std::vector<set_change> changes;
    list_changes<data_centre>("data_centre", found.data_centres,
                              data_centre_fields, changes);
    list_changes<service>("service", found.services, service_fields, changes);
    list_changes<reference>("reference", found.references, reference_fields,
                            changes);
    list_changes<target>("target", found.targets, target_fields, changes);
    for (const std::string& line : describe(found))
    {
        changes.push_back({"effect", "", line});
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
    for (const std::string& part : {finding.object, finding.field})
    {
        text += (text.empty() || part.empty() ? "" : ": ") + part;
    }
    text += text.empty() ? "" : ": ";
    text += finding.warning ? "warning: " : "";
    text += finding.message;
    return finding.rule.empty() ? text : text + " [" + finding.rule + "]";
}

} // namespace catkinkeel
