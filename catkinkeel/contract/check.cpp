#include "catkinkeel/contract/check.hpp"

#include "catkinkeel/contract/internal/rules.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <tuple>
#include <type_traits>

namespace catkinkeel
{

namespace internal
{

rule_context::rule_context(const published_objects& all) : objects(all)
{
    for (const service& each : all.services)
    {
        services.emplace(each.id, &each);
    }
    for (const data_centre& each : all.data_centres)
    {
        data_centres.emplace(each.id, &each);
    }
    for (const target& each : all.targets)
    {
        services_with_targets.insert(each.service);
    }
    for (const reference& each : all.references)
    {
        services_with_references.insert(each.service);
    }
}

bool rule_context::in_service(data_centre_id id) const
{
    const auto found = data_centres.find(id);
    return found != data_centres.end() &&
           found->second->wish == data_centre_wish::in_service;
}

std::string rule_context::label(service_id id) const
{
    const auto found = services.find(id);
    return "service " + std::to_string(id.value) +
           (found == services.end() ? "" : " (" + found->second->name + ")");
}

} // namespace internal

namespace
{

using namespace internal;

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_publisher_bytes = 128;

// Maximum numbers of objects in a set, at least twice the design size. They
// bound the memory and the time of one validation; a larger set is assumed to
// be a mistake.
constexpr std::size_t max_targets = 65535;
constexpr std::size_t max_references = 16383;
constexpr std::size_t max_services = 16383;
constexpr std::size_t max_data_centres = 64;

// Rules for one field of each object.

template <auto Objects, auto Field>
void check_id(const rule_context& input, std::string_view rule,
              error_list& errors)
{
    for (const auto& each : input.objects.*Objects)
    {
        if ((each.*Field).value == 0)
        {
            errors.add(each, "id", rule, "must not be 0");
        }
    }
}

template <auto Objects>
void check_duplicate_id(const rule_context& input, std::string_view rule,
                        error_list& errors)
{
    const auto& objects = input.objects.*Objects;
    std::unordered_set<std::uint64_t> seen;
    seen.reserve(objects.size());
    for (const auto& each : objects)
    {
        if (!seen.insert(each.id.value).second)
        {
            errors.add(each, "id", rule, "is used by another object too");
        }
    }
}

template <auto Objects>
void check_duplicate_name(const rule_context& input, std::string_view rule,
                          error_list& errors)
{
    std::unordered_map<std::string_view, std::uint64_t> seen;
    for (const auto& each : input.objects.*Objects)
    {
        const auto [first, added] = seen.emplace(each.name, each.id.value);
        if (!added)
        {
            errors.add(each, "name", rule,
                       "is also the name of " + to_string(kind_of(each)) + " " +
                           std::to_string(first->second));
        }
    }
}

template <auto Objects>
void check_name_present(const rule_context& input, std::string_view rule,
                        error_list& errors)
{
    for (const auto& each : input.objects.*Objects)
    {
        if (each.name.empty())
        {
            errors.add(each, "name", rule, "must not be empty");
        }
    }
}

template <auto Objects>
void check_name_length(const rule_context& input, std::string_view rule,
                       error_list& errors)
{
    for (const auto& each : input.objects.*Objects)
    {
        if (each.name.size() > max_name_bytes)
        {
            errors.add(each, "name", rule,
                       "has more than " + std::to_string(max_name_bytes) +
                           " bytes");
        }
    }
}

/// Restricts the characters of names, which appear in logs, metrics and URLs.
template <auto Objects>
void check_name_characters(const rule_context& input, std::string_view rule,
                           error_list& errors)
{
    for (const auto& each : input.objects.*Objects)
    {
        if (each.name.find_first_not_of(
                "abcdefghijklmnopqrstuvwxyz0123456789-_.") != std::string::npos)
        {
            errors.add(each, "name", rule,
                       "may hold only a-z, 0-9, '-', '_' and '.'");
        }
    }
}

template <auto Objects, auto Field, std::uint64_t Min, std::uint64_t Max>
void check_range(const rule_context& input, std::string_view rule,
                 error_list& errors)
{
    // The rule for the field `x` is named `x_range`.
    const std::string_view field = rule.substr(0, rule.rfind("_range"));
    for (const auto& each : input.objects.*Objects)
    {
        const std::uint64_t value = each.*Field;
        if (value < Min || value > Max)
        {
            errors.add(each, field, rule,
                       "must be from " + std::to_string(Min) + " to " +
                           std::to_string(Max) + ", not " +
                           std::to_string(value));
        }
    }
}

template <auto Objects, auto Field>
void check_port(const rule_context& input, std::string_view rule,
                error_list& errors)
{
    const std::string_view field = rule.substr(0, rule.rfind("_port"));
    for (const auto& each : input.objects.*Objects)
    {
        if ((each.*Field).port == 0)
        {
            errors.add(each, field, rule, "must have a port from 1 to 65535");
        }
    }
}

/// Refuses 0.0.0.0/8, multicast, reserved and broadcast addresses.
template <auto Objects, auto Field>
void check_unicast(const rule_context& input, std::string_view rule,
                   error_list& errors)
{
    const std::string_view field = rule.substr(0, rule.rfind("_unicast"));
    for (const auto& each : input.objects.*Objects)
    {
        const std::uint32_t network = (each.*Field).address.value >> 24U;
        if (network == 0 || network >= 224)
        {
            errors.add(each, field, rule,
                       to_string((each.*Field).address) +
                           " is not a unicast address");
        }
    }
}

// Rules between objects.

template <auto Objects, auto Field, auto Lookup>
void check_exists(const rule_context& input, std::string_view rule,
                  error_list& errors)
{
    const auto& known_ids = input.*Lookup;
    for (const auto& each : input.objects.*Objects)
    {
        if (!known_ids.contains(each.*Field))
        {
            constexpr bool is_service_field =
                std::is_same_v<std::remove_cvref_t<decltype(each.*Field)>,
                               service_id>;
            const char* kind = is_service_field ? "service" : "data_centre";
            errors.add(each, kind, rule,
                       "names " + std::string(kind) + " " +
                           std::to_string((each.*Field).value) +
                           ", which is not in the set");
        }
    }
}

void check_reference_conflict(const rule_context& input, std::string_view rule,
                              error_list& errors)
{
    std::vector<const reference*> sorted;
    for (const reference& each : input.objects.references)
    {
        sorted.push_back(&each);
    }
    const auto key = [](const reference* each)
    {
        return std::tuple(each->public_endpoint, each->transport);
    };
    std::ranges::stable_sort(sorted, {}, key);
    for (std::size_t i = 1; i < sorted.size(); ++i)
    {
        if (key(sorted[i - 1]) == key(sorted[i]))
        {
            errors.add(*sorted[i], "address", rule,
                       to_string(sorted[i]->public_endpoint) + " " +
                           to_string(sorted[i]->transport) +
                           " is bound by reference " +
                           std::to_string(sorted[i - 1]->id.value) + " too");
        }
    }
}

void check_duplicate_target_address(const rule_context& input,
                                    std::string_view rule, error_list& errors)
{
    std::vector<const target*> sorted;
    for (const target& each : input.objects.targets)
    {
        sorted.push_back(&each);
    }
    const auto key = [](const target* each)
    {
        return std::tuple(each->service, each->address);
    };
    std::ranges::stable_sort(sorted, {}, key);
    for (std::size_t i = 1; i < sorted.size(); ++i)
    {
        if (key(sorted[i - 1]) == key(sorted[i]))
        {
            errors.add(*sorted[i], "address", rule,
                       to_string(sorted[i]->address) +
                           " is the address of target " +
                           std::to_string(sorted[i - 1]->id.value) +
                           " of the same service");
        }
    }
}

/// Rejects a public address that is also a target's address: packets sent to
/// such a target would return to the balancers.
void check_public_address_is_target(const rule_context& input,
                                    std::string_view rule, error_list& errors)
{
    std::unordered_map<std::uint32_t, target_id> targets;
    targets.reserve(input.objects.targets.size());
    for (const target& each : input.objects.targets)
    {
        targets.emplace(each.address.address.value, each.id);
    }
    for (const reference& each : input.objects.references)
    {
        const auto found = targets.find(each.public_endpoint.address.value);
        if (found != targets.end())
        {
            errors.add(each, "address", rule,
                       to_string(each.public_endpoint.address) +
                           " is also the address of target " +
                           std::to_string(found->second.value));
        }
    }
}

void check_service_has_target(const rule_context& input, std::string_view rule,
                              error_list& errors)
{
    for (const service& each : input.objects.services)
    {
        if (input.services_with_references.contains(each.id) &&
            !input.services_with_targets.contains(each.id))
        {
            errors.add(each, "", rule, "has references but no target");
        }
    }
}

// Rules for the set as a whole.

void add_set_error(const rule_context& input, std::string_view field,
                   std::string_view rule, std::string message,
                   error_list& errors)
{
    errors.add({object_kind::set, input.objects.version.value, "",
                std::string(field), std::string(rule), std::move(message)});
}

void check_version(const rule_context& input, std::string_view rule,
                   error_list& errors)
{
    if (input.objects.version.value == 0)
    {
        add_set_error(input, "version", rule, "must not be 0", errors);
    }
}

void check_publisher(const rule_context& input, std::string_view rule,
                     error_list& errors)
{
    const std::string& publisher = input.objects.published_by;
    const bool printable =
        std::ranges::none_of(publisher,
                             [](char each)
                             {
                                 const auto byte =
                                     static_cast<unsigned char>(each);
                                 return byte < 0x20 || byte == 0x7f;
                             });
    if (publisher.size() > max_publisher_bytes || !printable)
    {
        add_set_error(input, "published_by", rule,
                      "must be printable and at most " +
                          std::to_string(max_publisher_bytes) + " bytes",
                      errors);
    }
}

template <auto Objects, std::size_t Max>
void check_count(const rule_context& input, std::string_view rule,
                 error_list& errors)
{
    const std::size_t count = (input.objects.*Objects).size();
    if (count > Max)
    {
        add_set_error(input, rule.substr(0, rule.rfind("_count")), rule,
                      "holds " + std::to_string(count) + " of at most " +
                          std::to_string(Max),
                      errors);
    }
}

void check_data_centre_present(const rule_context& input, std::string_view rule,
                               error_list& errors)
{
    if (input.objects.data_centres.empty())
    {
        add_set_error(input, "data_centre", rule, "has no data centre", errors);
    }
}

void check_data_centre_in_service(const rule_context& input,
                                  std::string_view rule, error_list& errors)
{
    const auto& all = input.objects.data_centres;
    if (!all.empty() &&
        std::ranges::none_of(
            all, [&](const data_centre& each)
            { return each.wish == data_centre_wish::in_service; }))
    {
        add_set_error(input, "data_centre", rule,
                      "all data centres are out of service", errors);
    }
}

constexpr auto services = &published_objects::services;
constexpr auto data_centres = &published_objects::data_centres;
constexpr auto targets = &published_objects::targets;
constexpr auto references = &published_objects::references;

constexpr std::uint64_t max_new_flows_per_second = 100'000'000;

constexpr std::array rules{
    rule_row{"version_zero", check_version},
    rule_row{"published_by", check_publisher},
    rule_row{"service_count", check_count<services, max_services>},
    rule_row{"data_centre_count", check_count<data_centres, max_data_centres>},
    rule_row{"target_count", check_count<targets, max_targets>},
    rule_row{"reference_count", check_count<references, max_references>},
    rule_row{"no_data_centre", check_data_centre_present},
    rule_row{"no_data_centre_in_service", check_data_centre_in_service},
    rule_row{"service_id_zero", check_id<services, &service::id>},
    rule_row{"data_centre_id_zero", check_id<data_centres, &data_centre::id>},
    rule_row{"target_id_zero", check_id<targets, &target::id>},
    rule_row{"reference_id_zero", check_id<references, &reference::id>},
    rule_row{"duplicate_service_id", check_duplicate_id<services>},
    rule_row{"duplicate_data_centre_id", check_duplicate_id<data_centres>},
    rule_row{"duplicate_target_id", check_duplicate_id<targets>},
    rule_row{"duplicate_reference_id", check_duplicate_id<references>},
    rule_row{"service_name_empty", check_name_present<services>},
    rule_row{"service_name_length", check_name_length<services>},
    rule_row{"service_name_characters", check_name_characters<services>},
    rule_row{"duplicate_service_name", check_duplicate_name<services>},
    rule_row{"data_centre_name_empty", check_name_present<data_centres>},
    rule_row{"data_centre_name_length", check_name_length<data_centres>},
    rule_row{"data_centre_name_characters",
             check_name_characters<data_centres>},
    rule_row{"duplicate_data_centre_name", check_duplicate_name<data_centres>},
    rule_row{"new_flows_per_second_range",
             check_range<services, &service::new_flows_per_second, 0,
                         max_new_flows_per_second>},
    rule_row{"new_flows_per_second_per_network_range",
             check_range<services, &service::new_flows_per_second_per_network,
                         0, max_new_flows_per_second>},
    rule_row{"target_service_exists",
             check_exists<targets, &target::service, &rule_context::services>},
    rule_row{"target_data_centre_exists",
             check_exists<targets, &target::data_centre,
                          &rule_context::data_centres>},
    rule_row{"address_port", check_port<targets, &target::address>},
    rule_row{"report_port", check_port<targets, &target::report>},
    rule_row{"address_unicast", check_unicast<targets, &target::address>},
    rule_row{"report_unicast", check_unicast<targets, &target::report>},
    rule_row{"weight_range", check_range<targets, &target::weight, 1, 1000>},
    rule_row{"slots_range", check_range<targets, &target::slots, 1, 10'000>},
    rule_row{"connections_range",
             check_range<targets, &target::connections, 1, 1'000'000>},
    rule_row{"duplicate_target_address", check_duplicate_target_address},
    rule_row{
        "reference_service_exists",
        check_exists<references, &reference::service, &rule_context::services>},
    rule_row{"address_port",
             check_port<references, &reference::public_endpoint>},
    rule_row{"address_unicast",
             check_unicast<references, &reference::public_endpoint>},
    rule_row{"reference_conflict", check_reference_conflict},
    rule_row{"public_address_is_target", check_public_address_is_target},
    rule_row{"service_without_target", check_service_has_target},
};

} // namespace

std::vector<object_error> check_objects(const published_objects& objects)
{
    const rule_context input(objects);
    error_list errors;
    for (const rule_row& row : rules)
    {
        row.check(input, row.id, errors);
    }
    return std::move(errors).take();
}

std::vector<std::string_view> rule_ids()
{
    std::vector<std::string_view> ids;
    for (const rule_row& row : rules)
    {
        if (std::ranges::find(ids, row.id) == ids.end())
        {
            ids.push_back(row.id);
        }
    }
    return ids;
}

} // namespace catkinkeel
