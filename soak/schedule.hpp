#pragma once

// The faults of a soak, drawn from its seed.

#include "soak/plan.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinkeel::soak
{

enum class fault : std::uint8_t
{
    stop_daemon,
    kill_daemon,
    kill_all_daemons,
    pause_daemon,
    reload_daemon,
    delay_store,
    reset_store,
    silence_store,
    cut_answers,
    silence_store_for_all,
    lose_history,
    crash_target,
    drain_target,
    withdraw_entry,
    damage_entry,
    move_reference,
    publish_reference,
    withdraw_reference,
    evacuate
};
inline constexpr std::uint32_t fault_count = 19;

std::string_view to_string(fault kind);

struct scheduled_fault
{
    /// Since the start of the soak.
    duration at{};
    fault kind{};
    /// Which daemon, target or reference; reduced to those that exist.
    std::uint32_t subject = 0;
    /// Ignored by faults that happen at once.
    duration length{};

    friend auto operator<=>(const scheduled_fault&,
                            const scheduled_fault&) = default;
};

/// Faults in the order of their times: series of up to four that overlap, with
/// calm times between the series in which everything must work.
std::vector<scheduled_fault> make_schedule(const soak_plan& plan);

} // namespace catkinkeel::soak
