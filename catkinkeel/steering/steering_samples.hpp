#pragma once

// Sample targets and configurations for the tests of this library.

#include "catkinkeel/steering/catalog.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace catkinkeel::steering
{

inline instant at(duration since_start)
{
    return instant(since_start);
}

inline endpoint address(std::uint32_t last_octet, std::uint16_t port)
{
    return {{0x0a000000U + last_octet}, port};
}

inline target_announcement sample_target(const std::string& name,
                                         const std::string& service,
                                         const std::string& data_centre,
                                         std::uint32_t last_octet)
{
    return {.name = name,
            .identity = last_octet,
            .service = service,
            .address = address(last_octet, 8080),
            .data_centre = data_centre,
            .slots = 2,
            .heartbeat = 1,
            .started_ms = 1000};
}

inline published_configuration sample_configuration(
    std::uint64_t version,
    const std::vector<std::pair<std::uint16_t, std::string>>& references)
{
    published_configuration configuration{.version = {version}};
    for (const auto& [port, service] : references)
    {
        configuration.references.push_back({.name = "r" + std::to_string(port),
                                            .address = address(1, port),
                                            .services = {{service, 1}},
                                            .terms = {.priority = 1}});
    }
    return configuration;
}

} // namespace catkinkeel::steering
