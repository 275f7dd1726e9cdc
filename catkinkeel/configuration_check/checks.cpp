// Errors and warnings of one configuration.

#include "catkinkeel/configuration_check/configuration_check.hpp"
#include "catkinkeel/configuration_check/internal/object_names.hpp"

#include <algorithm>
#include <array>
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

/// The document that is checked, and the findings so far.
struct check_run
{
    const configuration_draft& draft;
    const document_names& names;
    std::vector<finding> findings;

    void add(finding_severity severity, const std::string& object,
             const std::string& message)
    {
        findings.push_back({severity, object, message});
    }
    void add(finding_severity severity,
             const reference_configuration& reference,
             const std::string& message)
    {
        add(severity, name_of(reference, names), message);
    }
};

std::string with_milliseconds(std::string_view field, duration value)
{
    return std::string(field) + " " + std::to_string(in_milliseconds(value));
}

void check_rejected_parts(check_run& run)
{
    for (const rejected_part& part : run.draft.rejected)
    {
        run.add(error, part.object, part.reason);
    }
}

/// The last of several references of one address takes effect in a daemon.
void check_addresses(check_run& run)
{
    std::map<endpoint, std::string> last_name;
    const auto& references = run.draft.configuration.references;
    for (auto each = references.rbegin(); each != references.rend(); ++each)
    {
        const auto [last, is_last] =
            last_name.emplace(each->address, each->name);
        if (!is_last)
        {
            run.add(error, *each,
                    "never matches: " + std::string(run.names.reference) + " " +
                        last->second + " further down has the same address " +
                        to_string(each->address));
        }
    }
}

template <class Object>
std::set<std::string> repeated_names(const std::vector<Object>& objects)
{
    std::set<std::string> seen;
    std::set<std::string> repeated;
    for (const Object& each : objects)
    {
        if (!seen.insert(each.name).second)
        {
            repeated.insert(each.name);
        }
    }
    return repeated;
}

void check_names(check_run& run)
{
    const published_configuration& configuration = run.draft.configuration;
    for (const std::string& name : repeated_names(configuration.references))
    {
        run.add(warning, std::string(run.names.reference) + " " + name,
                "the name is used more than once, so log lines do not tell "
                "which one they mean");
    }
    for (const std::string& name : repeated_names(configuration.services))
    {
        run.add(warning, "service " + name,
                "is defined more than once; only the last definition has an "
                "effect");
    }
}

void check_weights(check_run& run)
{
    const auto has_no_weight = [](const weighted_service& service)
    {
        return service.weight == 0;
    };
    for (const auto& reference : run.draft.configuration.references)
    {
        if (std::ranges::all_of(reference.services, has_no_weight))
        {
            run.add(warning, reference,
                    "all weights are 0, so service " +
                        reference.services.front().name +
                        " gets all new flows");
            continue;
        }
        for (const weighted_service& service : reference.services)
        {
            if (has_no_weight(service))
            {
                run.add(warning, reference,
                        "service " + service.name +
                            " has weight 0 and gets no new flows");
            }
        }
    }
}

void check_services(check_run& run)
{
    const published_configuration& configuration = run.draft.configuration;
    std::set<std::string> defined;
    for (const service_configuration& service : configuration.services)
    {
        defined.insert(service.name);
    }
    std::set<std::string> used;
    for (const reference_configuration& reference : configuration.references)
    {
        for (const weighted_service& service : reference.services)
        {
            used.insert(service.name);
            if (!defined.contains(service.name))
            {
                run.add(error, reference,
                        "service " + service.name + " is not defined");
            }
        }
    }
    // A rejected reference may use any service.
    for (const std::string& service : defined)
    {
        if (run.draft.rejected.empty() && !used.contains(service))
        {
            run.add(warning, "service " + service,
                    "no " + std::string(run.names.reference) + " uses it");
        }
    }
}

/// Reports a time that is stated but counts as not known.
void check_time(check_run& run, const std::string& object,
                std::string_view field, const stated_duration& time)
{
    if (time.state == field_state::unusable)
    {
        run.add(warning, object,
                std::string(field) +
                    " is not a number in its range and counts as not known");
    }
    else if (time.state == field_state::valid && time.value == duration::zero())
    {
        run.add(warning, object,
                std::string(field) + " is 0 and counts as not known");
    }
}

void check_terms(check_run& run, const reference_configuration& reference,
                 const reference_statement& stated)
{
    const document_names& names = run.names;
    const request_terms& terms = reference.terms;
    const std::string object = name_of(reference, names);
    if (stated.kind_state == field_state::unusable)
    {
        run.add(warning, object,
                std::string(names.kind) + " \"" + stated.kind +
                    "\" is none of " + std::string(names.kinds) +
                    "; requests count as not idempotent");
    }
    if (stated.priority == field_state::unusable)
    {
        run.add(warning, object,
                "priority is not an integer from 0 to " +
                    std::to_string(lowest_priority) +
                    "; it counts as the lowest");
    }
    check_time(run, object, names.latency_goal,
               {stated.latency_goal, terms.latency_goal});
    check_time(run, object, names.timeout, {stated.timeout, terms.timeout});
    const bool has_goal = terms.latency_goal > duration::zero();
    const bool has_timeout = terms.timeout > duration::zero();
    const duration idle_timeout = run.draft.idle_timeout.value;
    if (has_goal && has_timeout && terms.latency_goal > terms.timeout)
    {
        run.add(warning, object,
                with_milliseconds(names.latency_goal, terms.latency_goal) +
                    " is above " +
                    with_milliseconds(names.timeout, terms.timeout));
    }
    if (stated.priority == field_state::valid && !has_goal)
    {
        run.add(warning, object,
                "has a priority but no " + std::string(names.latency_goal));
    }
    if (idle_timeout > duration::zero() && terms.timeout > idle_timeout)
    {
        run.add(warning, object,
                with_milliseconds(names.timeout, terms.timeout) + " is above " +
                    with_milliseconds(names.idle_timeout, idle_timeout) +
                    ", so a flow may count as idle while its caller waits");
    }
}

void check_all_terms(check_run& run)
{
    const auto& references = run.draft.configuration.references;
    for (std::size_t i = 0; i < references.size(); ++i)
    {
        check_terms(run, references[i], run.draft.references[i]);
    }
    check_time(run, "", run.names.idle_timeout, run.draft.idle_timeout);
}

void check_cold_limits(check_run& run)
{
    const document_names& names = run.names;
    const auto& services = run.draft.configuration.services;
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        const std::string object = "service " + services[i].name;
        const service_statement& stated = run.draft.services[i];
        const std::string limit(names.max_cold_flows);
        if (services[i].name.empty())
        {
            run.add(warning, object, "has no name");
        }
        if (stated.max_cold_flows == field_state::unusable)
        {
            run.add(warning, object,
                    limit + " is not a number from 0 up; no limit applies");
        }
        if (stated.warm_up.state == field_state::unusable)
        {
            check_time(run, object, names.warm_up, stated.warm_up);
        }
        if (services[i].max_cold_flows_per_second > 0 &&
            stated.warm_up.value == duration::zero())
        {
            run.add(warning, object,
                    limit + " limits targets that warm up, but " +
                        std::string(names.warm_up) + " is 0, absent or " +
                        "unusable");
        }
    }
}

constexpr std::array checks{
    check_rejected_parts, check_addresses, check_names,      check_weights,
    check_services,       check_all_terms, check_cold_limits};

} // namespace

std::vector<finding> check_configuration(const configuration_draft& draft,
                                         const document_names& names)
{
    check_run run{draft, names, {}};
    for (const auto& check : checks)
    {
        check(run);
    }
    std::ranges::stable_sort(run.findings, {}, &finding::severity);
    return std::move(run.findings);
}

} // namespace catkinkeel::configuration_check
