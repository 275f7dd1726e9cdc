#include "catkinkeel/edge/snapshot_json.hpp"

#include "catkinkeel/base/json_nesting.hpp"

#include <chrono>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>

namespace catkinkeel::edge
{

namespace
{

using nlohmann::json;
using namespace steering;

constexpr int format_version = 1;

/// The format nests 4 levels.
constexpr std::size_t max_nesting_depth = 8;

json to_json(const target_announcement& target)
{
    const auto warm_up = std::chrono::duration_cast<std::chrono::milliseconds>(
        target.remaining_warm_up);
    return {{"name", target.name},
            {"identity", target.identity},
            {"service", target.service},
            {"address", to_string(target.address)},
            {"data_centre", target.data_centre},
            {"draining", target.state == announced_state::draining},
            {"warm_up_ms", warm_up.count()},
            {"slots", target.slots},
            {"started_ms", target.started_ms}};
}

json to_json(const request_terms& terms)
{
    return json::array({terms.idempotent, terms.priority,
                        in_milliseconds(terms.latency_goal),
                        in_milliseconds(terms.timeout)});
}

json to_json(const published_configuration& configuration)
{
    json references = json::array();
    for (const reference_configuration& reference : configuration.references)
    {
        json services = json::array();
        for (const weighted_service& service : reference.services)
        {
            services.push_back({service.name, service.weight});
        }
        references.push_back({{"name", reference.name},
                              {"address", to_string(reference.address)},
                              {"services", std::move(services)},
                              {"requests", to_json(reference.terms)}});
    }
    json services = json::array();
    for (const service_configuration& service : configuration.services)
    {
        services.push_back(
            {{"name", service.name},
             {"cold_flows_per_second", service.max_cold_flows_per_second}});
    }
    return {{"version", configuration.version.value},
            {"references", std::move(references)},
            {"services", std::move(services)}};
}

endpoint parse_address(const json& object)
{
    const auto parsed = parse_endpoint(object.at("address").get<std::string>());
    if (!parsed)
    {
        throw std::invalid_argument(parsed.error().message);
    }
    return parsed.value();
}

/// Reads an integer from `min` to `max`, which must be values of `Integer`:
/// `get` alone would truncate others.
template <class Integer>
Integer parse_integer(const json& value, std::uint64_t min = 0,
                      std::uint64_t max = std::numeric_limits<Integer>::max())
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < min ||
        value.get<std::uint64_t>() > max)
    {
        throw std::invalid_argument("number out of range");
    }
    return value.get<Integer>();
}

target_announcement parse_target(const json& object)
{
    constexpr auto max_warm_up_ms =
        static_cast<std::uint64_t>(in_milliseconds(max_target_warm_up));
    return {.name = object.at("name").get<std::string>(),
            .identity = parse_integer<std::uint64_t>(object.at("identity"), 1),
            .service = object.at("service").get<std::string>(),
            .address = parse_address(object),
            .data_centre = object.at("data_centre").get<std::string>(),
            .state = object.at("draining").get<bool>()
                         ? announced_state::draining
                         : announced_state::ready,
            .remaining_warm_up =
                std::chrono::milliseconds(parse_integer<std::uint32_t>(
                    object.at("warm_up_ms"), 0, max_warm_up_ms)),
            .slots = parse_integer<std::uint32_t>(object.at("slots"), 1,
                                                  max_target_slots),
            .started_ms = parse_integer<std::int64_t>(object.at("started_ms"))};
}

/// Reads [idempotent, priority, latency goal in ms, timeout in ms].
request_terms parse_request_terms(const json& array)
{
    const auto milliseconds = [&](std::size_t position)
    {
        return std::chrono::milliseconds(
            parse_integer<std::uint32_t>(array.at(position)));
    };
    const auto priority = parse_integer<std::uint32_t>(array.at(1));
    if (priority > lowest_priority)
    {
        throw std::invalid_argument("priority out of range");
    }
    return {.idempotent = array.at(0).get<bool>(),
            .priority = priority,
            .latency_goal = milliseconds(2),
            .timeout = milliseconds(3)};
}

published_configuration parse_configuration(const json& object)
{
    published_configuration configuration{
        .version = {parse_integer<std::uint64_t>(object.at("version"))}};
    for (const json& row : object.at("references"))
    {
        reference_configuration reference{.name =
                                              row.at("name").get<std::string>(),
                                          .address = parse_address(row)};
        for (const json& service : row.at("services"))
        {
            reference.services.push_back(
                {service.at(0).get<std::string>(),
                 parse_integer<std::uint32_t>(service.at(1))});
        }
        // Daemons of earlier releases do not send them.
        if (const auto terms = row.find("requests"); terms != row.end())
        {
            reference.terms = parse_request_terms(*terms);
        }
        configuration.references.push_back(std::move(reference));
    }
    for (const json& row : object.at("services"))
    {
        configuration.services.push_back(
            {row.at("name").get<std::string>(),
             row.at("cold_flows_per_second").get<double>()});
    }
    return configuration;
}

metadata_update parse_update(const json& document)
{
    if (document.at("format") != format_version)
    {
        throw std::invalid_argument("unsupported snapshot format version");
    }
    metadata_update update{
        .complete = true,
        .revision = parse_integer<std::uint64_t>(document.at("revision"))};
    update.changes.emplace_back(
        configuration_published{parse_configuration(document.at("terms"))});
    for (const json& name : document.at("closed"))
    {
        update.changes.emplace_back(
            data_centre_service_changed{name.get<std::string>(), false});
    }
    for (const json& target : document.at("targets"))
    {
        update.changes.emplace_back(target_announced{parse_target(target)});
    }
    return update;
}

} // namespace

std::string to_json(const metadata_update& update)
{
    json targets = json::array();
    json out_of_service = json::array();
    json configuration = nullptr;
    for (const metadata_change& change : update.changes)
    {
        if (const auto* target = std::get_if<target_announced>(&change))
        {
            targets.push_back(to_json(target->target));
        }
        else if (const auto* published =
                     std::get_if<configuration_published>(&change))
        {
            configuration = to_json(published->configuration);
        }
        else if (const auto* switched =
                     std::get_if<data_centre_service_changed>(&change))
        {
            out_of_service.push_back(switched->name);
        }
    }
    const json document{{"format", format_version},
                        {"revision", update.revision},
                        {"terms", std::move(configuration)},
                        {"closed", std::move(out_of_service)},
                        {"targets", std::move(targets)}};
    return document.dump();
}

outcome<metadata_update> parse_snapshot(const std::string& text)
{
    // The JSON library reports missing members and wrong types by exceptions.
    try
    {
        if (!has_limited_nesting(text, max_nesting_depth))
        {
            throw std::invalid_argument("nested too deeply");
        }
        return parse_update(json::parse(text));
    }
    catch (const std::exception& parse_error)
    {
        return failure{failure_kind::invalid_input, parse_error.what()};
    }
}

} // namespace catkinkeel::edge
