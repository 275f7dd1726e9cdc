#pragma once

// The demonstration's site: the three data centres of Exlibris, the example
// organisation with two services, with two entry VMs each and 18 targets, all
// on loopback addresses.

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <cstdint>
#include <filesystem>
#include <vector>

namespace catkinkeel
{

inline constexpr endpoint platform_endpoint{{0x7f000001}, 8500};
/// Destination of packets that targets and daemons send to callers.
inline constexpr endpoint egress_endpoint{{0x7f000201}, 6080};

/// Public endpoints. During the demonstration the last one is reassigned from
/// service orderdesk to platefiles.
inline constexpr endpoint orderdesk_endpoint{{0xc6336401}, 443};
inline constexpr endpoint platefiles_endpoint{{0xc6336402}, 443};
inline constexpr endpoint moved_endpoint{{0xc6336403}, 443};

inline constexpr service_id orderdesk{1};
inline constexpr service_id platefiles{2};

/// Returns version 1 of the site's published objects.
published_objects site_objects();

struct site_vm
{
    vm_id id;
    data_centre_id data_centre;
    endpoint packets;
    endpoint control;
    endpoint operators;

    friend auto operator<=>(const site_vm&, const site_vm&) = default;
};

std::vector<site_vm> site_vms();

/// Writes set.toml, vms.toml, the key file and a settings file for each VM.
void write_site(const std::filesystem::path& directory);

/// Replaces set.toml atomically; the platform stand-in then publishes it.
void write_set(const std::filesystem::path& directory,
               const published_objects& objects);

} // namespace catkinkeel
