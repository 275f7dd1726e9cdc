#pragma once

// Fleets and published sets of any size in the proportions of the size to
// design for, and the rows that the capacity programs print.

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/target/steward.hpp"
#include "catkinkeel/vm/member.hpp"
#include "catkinkeel/vm/vm_list.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <malloc.h>
#include <string>

namespace capacity
{

inline constexpr std::uint16_t data_centres = 16;
inline constexpr std::uint32_t first_public_address = 0x7f800000;

inline std::uint32_t references_of(std::uint32_t targets)
{
    return targets * 6100U / 24000U + 1;
}

/// `targets` targets in 16 data centres of 4 regions, a reference for each four
/// of them and a service for each ten references.
inline catkinkeel::published_objects make_objects(std::uint32_t targets,
                                                  std::uint64_t version)
{
    catkinkeel::published_objects made{.version = {version},
                                       .published_by = "capacity"};
    for (std::uint16_t i = 1; i <= data_centres; ++i)
    {
        made.data_centres.push_back({{i},
                                     "dc-" + std::to_string(i),
                                     {static_cast<std::uint16_t>((i - 1) / 4)},
                                     {}});
    }
    const std::uint32_t references = references_of(targets);
    const std::uint32_t services = references / 10 + 1;
    for (std::uint32_t i = 1; i <= services; ++i)
    {
        made.services.push_back({{i}, "service-" + std::to_string(i)});
    }
    for (std::uint32_t i = 1; i <= references; ++i)
    {
        made.references.push_back({{i},
                                   {{first_public_address + i}, 443},
                                   catkinkeel::protocol::tcp,
                                   {i % services + 1}});
    }
    for (std::uint32_t i = 1; i <= targets; ++i)
    {
        made.targets.push_back(
            {{i},
             {i % services + 1},
             {static_cast<std::uint16_t>(i % data_centres + 1)},
             {{0x7f100000U + i}, 8443},
             {{0x7f100000U + i}, 9100}});
    }
    return made;
}

inline catkinkeel::data_centre_id data_centre_of(std::uint32_t vm)
{
    return {static_cast<std::uint16_t>((vm - 1) % data_centres + 1)};
}

/// A fleet of `vms` over all 16 data centres, as VM 1 sees it.
inline catkinkeel::member_view make_view(std::uint32_t vms)
{
    catkinkeel::member_view view{.self = {1}, .revision = 1, .members = {}};
    for (std::uint32_t i = 1; i <= vms; ++i)
    {
        view.members.push_back({.id = {i},
                                .data_centre = data_centre_of(i),
                                .control = {{0x7f200000U + i}, 7400},
                                .packets = {{0x7f200000U + i}, 6080},
                                .incarnation = 1,
                                .listed = true});
    }
    return view;
}

inline catkinkeel::steward_view make_stewardship(std::uint32_t vms,
                                                 catkinkeel::instant now)
{
    catkinkeel::steward_view view{.self = {1}, .data_centre = {1}};
    for (std::uint32_t i = 1; i <= vms; ++i)
    {
        view.possibly_alive.push_back({{i}, data_centre_of(i), true, now, now});
    }
    view.list_as_of = now;
    view.listed_since = now - std::chrono::hours(1);
    return view;
}

inline catkinkeel::vm_list make_list(std::uint32_t vms, catkinkeel::instant at)
{
    catkinkeel::vm_list list{at, {}};
    for (const catkinkeel::member& each : make_view(vms).members)
    {
        list.vms.push_back(
            {each.id, each.data_centre, each.control, each.packets});
    }
    return list;
}

inline void print_row(const char* name, std::uint64_t size, double value,
                      const char* unit)
{
    std::printf("%-34s %8llu %14.3f %s\n", name,
                static_cast<unsigned long long>(size), value, unit);
    std::fflush(stdout);
}

/// Bytes that the process has allocated and not freed.
inline double heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Wall time of one call in milliseconds.
template <class Work>
double milliseconds_of(Work work)
{
    const auto begun = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - begun)
        .count();
}

/// Least of `runs` calls: the machine is shared, and other load only adds.
template <class Work>
double least_milliseconds_of(int runs, Work work)
{
    double least = milliseconds_of(work);
    for (int i = 1; i < runs; ++i)
    {
        least = std::min(least, milliseconds_of(work));
    }
    return least;
}

/// capacity_messages.cpp
void measure_messages();
void measure_updates();
void measure_lists();
void measure_documents();
/// capacity_start.cpp
void measure_start();
void measure_change();
/// capacity_flows.cpp
void measure_flow_memory();
void measure_exceptions();
void measure_handover();

} // namespace capacity
