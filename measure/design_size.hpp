#pragma once

// Fleets and published sets of any size with the proportions of the design
// size, and helpers of the capacity measurements. The design size is 24,000
// targets and 2,300 VMs.

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

inline constexpr std::uint16_t data_centre_count = 16;
inline constexpr std::uint32_t first_public_address = 0x7f800000;

inline std::uint32_t reference_count_for(std::uint32_t target_count)
{
    return target_count * 6100U / 24000U + 1;
}

/// A published set with 16 data centres in 4 regions. There is about one
/// reference for every four targets and one service for every ten references.
inline catkinkeel::published_objects make_objects(std::uint32_t target_count,
                                                  std::uint64_t version)
{
    catkinkeel::published_objects objects{.version = {version},
                                          .published_by = "capacity"};
    for (std::uint16_t i = 1; i <= data_centre_count; ++i)
    {
        objects.data_centres.push_back(
            {{i},
             "dc-" + std::to_string(i),
             {static_cast<std::uint16_t>((i - 1) / 4)},
             {}});
    }
    const std::uint32_t reference_count = reference_count_for(target_count);
    const std::uint32_t service_count = reference_count / 10 + 1;
    for (std::uint32_t i = 1; i <= service_count; ++i)
    {
        objects.services.push_back({{i}, "service-" + std::to_string(i)});
    }
    for (std::uint32_t i = 1; i <= reference_count; ++i)
    {
        objects.references.push_back({{i},
                                      {{first_public_address + i}, 443},
                                      catkinkeel::protocol::tcp,
                                      {i % service_count + 1}});
    }
    for (std::uint32_t i = 1; i <= target_count; ++i)
    {
        objects.targets.push_back(
            {{i},
             {i % service_count + 1},
             {static_cast<std::uint16_t>(i % data_centre_count + 1)},
             {{0x7f100000U + i}, 8443},
             {{0x7f100000U + i}, 9100}});
    }
    return objects;
}

inline catkinkeel::data_centre_id data_centre_of(std::uint32_t vm)
{
    return {static_cast<std::uint16_t>((vm - 1) % data_centre_count + 1)};
}

/// Member view of VM 1, with the VMs spread over all 16 data centres.
inline catkinkeel::member_view make_view(std::uint32_t vm_count)
{
    catkinkeel::member_view view{.self = {1}, .revision = 1, .members = {}};
    for (std::uint32_t i = 1; i <= vm_count; ++i)
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

inline catkinkeel::steward_view make_steward_view(std::uint32_t vm_count,
                                                  catkinkeel::instant now)
{
    catkinkeel::steward_view view{.self = {1}, .data_centre = {1}};
    for (std::uint32_t i = 1; i <= vm_count; ++i)
    {
        view.possibly_alive.push_back({{i}, data_centre_of(i), true, now, now});
    }
    view.list_as_of = now;
    view.listed_since = now - std::chrono::hours(1);
    return view;
}

inline catkinkeel::vm_list make_vm_list(std::uint32_t vm_count,
                                        catkinkeel::instant read_at)
{
    catkinkeel::vm_list list{read_at, {}};
    for (const catkinkeel::member& each : make_view(vm_count).members)
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

/// Heap memory in use by this process, in bytes.
inline double heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Wall-clock time of one call in milliseconds.
template <class Work>
double milliseconds_of(Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

/// Minimum wall-clock time of `run_count` calls in milliseconds. The minimum is
/// used because other load on the machine can only lengthen a call.
template <class Work>
double min_milliseconds_of(int run_count, Work work)
{
    double minimum = milliseconds_of(work);
    for (int i = 1; i < run_count; ++i)
    {
        minimum = std::min(minimum, milliseconds_of(work));
    }
    return minimum;
}

// Defined in capacity_messages.cpp.
void measure_messages();
void measure_updates();
void measure_vm_lists();
void measure_documents();
// Defined in capacity_set_transfer.cpp.
void measure_daemon_start();
void measure_set_change();
// Defined in capacity_flows.cpp.
void measure_flow_memory();
void measure_exceptions();
void measure_handover();

} // namespace capacity
