// Differences between the configuration in force and the next one.

#include "catkinkeel/configuration_check/configuration_check.hpp"
#include "catkinkeel/configuration_check/internal/object_names.hpp"

#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace catkinkeel::configuration_check
{

namespace
{

using namespace steering;
using enum finding_severity;
using namespace internal;

/// A reference with what the document states about it.
struct drafted_reference
{
    const reference_configuration& configuration;
    const reference_statement& stated;
};

/// A service with what the document states about it.
struct drafted_service
{
    const service_configuration& configuration;
    const service_statement& stated;
};

/// A field whose text is compared.
template <class Object>
struct compared_field
{
    /// The name that messages use, unless `document_name` is set.
    std::string_view name;
    std::string_view document_names::*document_name;
    std::string (*format)(const Object& object);
};

std::string format_time(field_state state, duration value)
{
    return state == field_state::valid ? std::to_string(in_milliseconds(value))
                                       : "not known";
}

std::string format_services(const drafted_reference& reference)
{
    std::string text;
    for (const weighted_service& service : reference.configuration.services)
    {
        text += (text.empty() ? "" : ", ") + service.name + " weight " +
                std::to_string(service.weight);
    }
    return text;
}

std::string format_number(double value)
{
    std::array<char, 32> text{};
    const auto [end, error] =
        std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), error == std::errc() ? end : text.data()};
}

using reference_field = compared_field<drafted_reference>;
using service_field = compared_field<drafted_service>;

constexpr std::array reference_fields{
    reference_field{"address", nullptr,
                    [](const drafted_reference& reference)
                    {
                        return to_string(reference.configuration.address);
                    }},
    reference_field{"the list of services", nullptr, format_services},
    reference_field{"", &document_names::kind,
                    [](const drafted_reference& reference)
                    {
                        const std::string& kind = reference.stated.kind;
                        return kind.empty() ? "not known" : kind;
                    }},
    reference_field{"priority", nullptr,
                    [](const drafted_reference& reference)
                    {
                        return std::to_string(
                            reference.configuration.terms.priority);
                    }},
    reference_field{"", &document_names::latency_goal,
                    [](const drafted_reference& reference)
                    {
                        return format_time(
                            reference.stated.latency_goal,
                            reference.configuration.terms.latency_goal);
                    }},
    reference_field{"", &document_names::timeout,
                    [](const drafted_reference& reference)
                    {
                        return format_time(
                            reference.stated.timeout,
                            reference.configuration.terms.timeout);
                    }}};

constexpr std::array service_fields{
    service_field{"", &document_names::max_cold_flows,
                  [](const drafted_service& service)
                  {
                      return format_number(
                          service.configuration.max_cold_flows_per_second);
                  }},
    service_field{"", &document_names::warm_up,
                  [](const drafted_service& service)
                  {
                      const stated_duration& time = service.stated.warm_up;
                      return time.state == field_state::valid
                                 ? format_number(in_seconds(time.value))
                                 : "not known";
                  }}};

/// Compares one kind of object of two documents. Of several objects of one
/// name, the last is compared.
template <class Object>
class object_comparison
{
public:
    object_comparison(std::map<std::string, Object> before,
                      std::map<std::string, Object> after)
        : before_(std::move(before)), after_(std::move(after))
    {
    }

    /// Calls `removed` and `added` with the name and the object.
    template <class Removed, class Added, std::size_t Count>
    std::vector<finding>
    run(const std::string& kind, const document_names& names,
        const std::array<compared_field<Object>, Count>& fields,
        const Removed& removed, const Added& added) const
    {
        std::vector<finding> findings;
        const auto add = [&](const std::string& name, std::string message)
        {
            findings.push_back({difference,
                                std::string(kind).append(" ") += name,
                                std::move(message)});
        };
        for (const auto& [name, object] : before_)
        {
            if (!after_.contains(name))
            {
                add(name, removed(object));
            }
        }
        for (const auto& [name, object] : after_)
        {
            const auto former = before_.find(name);
            if (former == before_.end())
            {
                add(name, added(object));
                continue;
            }
            for (const auto& field : fields)
            {
                const std::string from = field.format(former->second);
                const std::string to = field.format(object);
                std::string message(field.document_name == nullptr
                                        ? field.name
                                        : names.*field.document_name);
                message.append(" changes from ").append(from);
                message.append(" to ").append(to);
                if (from != to)
                {
                    add(name, std::move(message));
                }
            }
        }
        return findings;
    }

private:
    std::map<std::string, Object> before_;
    std::map<std::string, Object> after_;
};

template <class Object, class Configuration, class Statement>
std::map<std::string, Object>
map_by_name(const std::vector<Configuration>& configurations,
            const std::vector<Statement>& statements)
{
    std::map<std::string, Object> objects;
    for (std::size_t i = configurations.size(); i-- > 0;)
    {
        objects.emplace(configurations[i].name,
                        Object{configurations[i], statements[i]});
    }
    return objects;
}

std::set<std::string> used_services(const published_configuration& all)
{
    std::set<std::string> used;
    for (const reference_configuration& reference : all.references)
    {
        for (const weighted_service& service : reference.services)
        {
            used.insert(service.name);
        }
    }
    return used;
}

/// What happens to the flows of addresses that change hands or are not used any
/// more. Daemons refuse new flows of an unused address at once and forget its
/// open flows after the longest life of a flow.
void describe_former_addresses(const configuration_draft& in_force,
                               const configuration_draft& next,
                               const document_names& names,
                               std::vector<finding>& out)
{
    std::map<endpoint, std::string> next_names;
    for (const reference_configuration& each : next.configuration.references)
    {
        next_names[each.address] = each.name;
    }
    for (const reference_configuration& each :
         in_force.configuration.references)
    {
        const std::string address = to_string(each.address);
        const auto heir = next_names.find(each.address);
        if (heir == next_names.end())
        {
            out.push_back({difference, name_of(each, names),
                           "new flows to " + address +
                               " are refused, and its open flows end at the "
                               "latest after the longest life of a flow"});
        }
        else if (heir->second != each.name)
        {
            out.push_back({difference, name_of(each, names),
                           std::string(names.reference) + " " + heir->second +
                               " takes over its address " + address});
        }
    }
}

void compare_references(const configuration_draft& in_force,
                        const configuration_draft& next,
                        const document_names& names, std::vector<finding>& out)
{
    const auto by_name = [](const configuration_draft& draft)
    {
        return map_by_name<drafted_reference>(draft.configuration.references,
                                              draft.references);
    };
    const auto found =
        object_comparison(by_name(in_force), by_name(next))
            .run(
                std::string(names.reference), names, reference_fields,
                [](const drafted_reference& /*reference*/)
                { return std::string("is removed"); },
                [](const drafted_reference& reference)
                {
                    return "is added at " +
                           to_string(reference.configuration.address) +
                           " with " + format_services(reference);
                });
    out.insert(out.end(), found.begin(), found.end());
    describe_former_addresses(in_force, next, names, out);
}

void compare_services(const configuration_draft& in_force,
                      const configuration_draft& next,
                      const document_names& names, std::vector<finding>& out)
{
    const auto by_name = [](const configuration_draft& draft)
    {
        return map_by_name<drafted_service>(draft.configuration.services,
                                            draft.services);
    };
    const auto found = object_comparison(by_name(in_force), by_name(next))
                           .run(
                               "service", names, service_fields,
                               [](const drafted_service& /*service*/)
                               { return std::string("is removed"); },
                               [](const drafted_service& /*service*/)
                               { return std::string("is added"); });
    out.insert(out.end(), found.begin(), found.end());
    const auto still_used = used_services(next.configuration);
    for (const std::string& service : used_services(in_force.configuration))
    {
        if (!still_used.contains(service))
        {
            out.push_back({difference, "service " + service,
                           "loses its last " + std::string(names.reference) +
                               " and gets no new flows"});
        }
    }
}

} // namespace

std::vector<finding> compare_configurations(const configuration_draft& in_force,
                                            const configuration_draft& next,
                                            const document_names& names)
{
    std::vector<finding> findings;
    if (!in_force.rejected.empty() || !next.rejected.empty())
    {
        const rejected_part* part =
            in_force.rejected.empty() ? nullptr : &in_force.rejected.front();
        findings.push_back(
            {error, "",
             part == nullptr
                 ? "not compared with the configuration in force, because "
                   "daemons reject this one"
                 : "not compared: the file in force is one that daemons "
                   "reject: " +
                       part->object + (part->object.empty() ? "" : ": ") +
                       part->reason});
        return findings;
    }
    const std::uint64_t former = in_force.configuration.version.value;
    const std::uint64_t version = next.configuration.version.value;
    if (version <= former)
    {
        findings.push_back(
            {error, "",
             "version " + std::to_string(version) + " is not higher than " +
                 std::to_string(former) +
                 ", the version in force; daemons ignore the document"});
    }
    compare_references(in_force, next, names, findings);
    compare_services(in_force, next, names, findings);
    const auto idle_timeout = [](const configuration_draft& draft)
    {
        return format_time(draft.idle_timeout.state, draft.idle_timeout.value);
    };
    if (idle_timeout(in_force) != idle_timeout(next))
    {
        findings.push_back({difference, "",
                            std::string(names.idle_timeout) + " changes from " +
                                idle_timeout(in_force) + " to " +
                                idle_timeout(next)});
    }
    return findings;
}

} // namespace catkinkeel::configuration_check
