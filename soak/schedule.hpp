#pragma once

// The random schedule of faults in a soak, determined by its seed.

#include "soak/plan.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinkeel::soak
{

/// New kinds are added at the end, so that `soak_plan::fault_kinds` can repeat
/// the schedule of an older seed.
enum class fault_kind : std::uint8_t
{
    stop_daemon,
    kill_daemon,
    kill_all_daemons,
    pause_daemon,
    reload_daemon,
    // Faults of a daemon's connections to the store.
    /// `proxy_mode::delay_all`.
    delay_store,
    /// `proxy_mode::reset`.
    reset_store,
    /// `proxy_mode::drop_all`.
    silence_store,
    /// `proxy_mode::drop_responses`.
    cut_answers,
    /// `proxy_mode::drop_all` for all daemons.
    silence_store_for_all,
    /// The store can no longer return the changes before the fault.
    lose_history,
    crash_target,
    drain_target,
    /// The announcement of a running target is missing from the store.
    withdraw_entry,
    /// An invalid announcement appears in the store.
    damage_entry,
    /// A permanent reference is bound to another service.
    move_reference,
    /// A temporary reference is published.
    publish_reference,
    /// A temporary reference is removed from the published configuration.
    withdraw_reference,
    /// A data centre is evacuated for the duration of the fault.
    evacuate,
    /// A target answers requests with errors.
    fail_answers,
    /// A target's process ends for good, while its announcement stays.
    silence_target
};
std::string_view to_string(fault_kind kind);

struct scheduled_fault
{
    /// Time from the start of the soak.
    duration start_offset{};
    fault_kind kind{};
    /// Selects a daemon, target, reference, data centre or invalid entry,
    /// modulo their number.
    std::uint32_t random_index = 0;
    /// Ignored by faults that are instantaneous.
    duration fault_duration{};

    friend auto operator<=>(const scheduled_fault&,
                            const scheduled_fault&) = default;
};

/// Returns the faults, sorted by `start_offset`: series of up to four faults,
/// which can overlap, separated by periods without faults. Equal plans have
/// equal schedules.
std::vector<scheduled_fault> make_schedule(const soak_plan& plan);

} // namespace catkinkeel::soak
