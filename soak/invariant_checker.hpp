#pragma once

// Checks invariants of the daemons against what callers and backend servers
// observe. Uses no socket and no clock: the simulators and the soak site report
// events.

#include "soak/plan.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinkeel::soak
{

/// One process of a backend server. A restart creates a new incarnation.
struct target_process
{
    std::uint32_t index = 0;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const target_process&,
                            const target_process&) = default;
};

/// Counts of flows as callers observe them, and of packets checked.
struct flow_counts
{
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t not_opened = 0;
    std::uint64_t finished = 0;
    /// Flows that were lost because their target's process ended.
    std::uint64_t lost_with_target = 0;
    /// Requests of which `record_request_ended` checked how long they took, and
    /// the longest of them.
    std::uint64_t requests_told = 0;
    duration longest_wait{};
    std::uint64_t packets_checked = 0;

    friend auto operator<=>(const flow_counts&, const flow_counts&) = default;
};

/// All `instant`s that are passed in must come from one monotonic clock.
class invariant_checker
{
public:
    explicit invariant_checker(std::uint32_t daemon_count);

    // Actions of the operator and the fault schedule.

    /// A configuration was published in the store, with the service index of
    /// each reference.
    void record_publication(std::map<endpoint, std::uint32_t> services,
                            instant now);
    /// A data centre was evacuated or put back into service.
    void record_evacuation(const std::string& data_centre, bool is_evacuated,
                           instant now);
    /// A target started to drain, and its announcement is in the store.
    void record_draining_target(target_process target, instant now);
    /// A daemon is stopped, paused or can't reach the store until `until`.
    void record_daemon_fault(std::uint32_t daemon, instant until);
    /// Until `until`, any flow may fail to open because of a fault, the start
    /// of the daemons or a busy machine.
    void record_global_fault(instant until);
    void record_target_end(target_process target, instant now);
    /// A daemon's process was started or resumed.
    void record_daemon_start(std::uint32_t daemon, instant now);

    // Observations of backend servers.

    /// A target received an opening packet that a daemon forwarded to it.
    void record_opening_packet(std::uint32_t daemon, const endpoint& reference,
                               target_process target, std::uint32_t service,
                               const std::string& data_centre, instant now);
    /// A packet of a flow that was opened at `opening_target` reached `target`.
    void record_packet(std::uint32_t daemon, const endpoint& caller,
                       target_process opening_target, target_process target);

    // Observations of callers.

    void record_flow_opened();
    void record_flow_refused();
    /// Neither the opening packet nor its retransmissions got a reply.
    /// `start_time` is the time of the first transmission.
    void record_flow_not_opened(const endpoint& caller, instant start_time);
    void record_flow_finished();
    /// A daemon reset a flow that is open at `target`.
    void record_flow_reset(const endpoint& caller, target_process target);
    /// A flow that is open at `target` got no reply to `packet_count` packets
    /// sent to running daemons, or was reset by a target that doesn't know it.
    void record_unanswered_flow(const endpoint& caller, target_process target,
                                std::uint32_t packet_count);

    /// A caller learned at `now`, by a reset or its own timeout, that its
    /// request of `request_time` has no answer. The request is idempotent, all
    /// its copies went to `daemon`, which ran, and another target of each
    /// service was there all the time.
    void record_request_ended(std::uint32_t daemon, const endpoint& caller,
                              target_process target, instant request_time,
                              instant now);

    // Daemon processes.

    /// `requested` is whether the soak stopped or killed the daemon. `in_time`
    /// is false if a daemon that was only stopped exceeded its grace period.
    void record_daemon_exit(std::uint32_t daemon, int status, bool requested,
                            bool in_time);

    /// Whether all global faults had ended by `time`.
    [[nodiscard]] bool is_free_of_global_faults(instant time) const
    {
        return !global_fault_end_ || time >= *global_fault_end_;
    }
    [[nodiscard]] bool is_evacuated(const std::string& data_centre) const
    {
        return evacuated_since_.contains(data_centre);
    }
    [[nodiscard]] const flow_counts& counts() const
    {
        return counts_;
    }
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return violations_;
    }

private:
    struct publication
    {
        instant publication_time;
        std::map<endpoint, std::uint32_t> services;
    };

    /// Whether the daemon had recovered from all its faults by `time`.
    [[nodiscard]] bool had_recovered(std::uint32_t daemon, instant time) const;
    /// Whether the daemon may open flows of the reference at the service,
    /// according to the configurations that it may have in effect.
    [[nodiscard]] bool is_allowed_service(std::uint32_t daemon,
                                          const endpoint& reference,
                                          std::uint32_t service,
                                          instant now) const;
    [[nodiscard]] bool is_running(target_process target) const
    {
        return !ended_processes_.contains(target);
    }
    void record_violation(std::string description);

    /// By daemon index.
    std::vector<instant> daemon_fault_end_;
    std::vector<instant> daemon_start_;
    std::optional<instant> global_fault_end_;
    std::vector<publication> publications_;
    std::map<std::string, instant> evacuated_since_;
    std::map<target_process, instant> draining_since_;
    std::map<target_process, instant> ended_processes_;
    flow_counts counts_;
    std::vector<std::string> violations_;
};

} // namespace catkinkeel::soak
