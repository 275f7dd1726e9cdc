#include "soak/invariant_checker.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::soak
{

namespace
{

/// Added to the limits of the settings, since timers and a busy machine delay
/// the observations.
constexpr duration timing_tolerance = 1s;

std::string describe(target_process target)
{
    return "target " + std::to_string(target.index) + " incarnation " +
           std::to_string(target.incarnation);
}

std::string describe_daemon(std::uint32_t daemon)
{
    return "daemon " + std::to_string(daemon);
}

} // namespace

invariant_checker::invariant_checker(std::uint32_t daemon_count)
    : daemon_fault_end_(daemon_count), daemon_start_(daemon_count)
{
}

void invariant_checker::record_publication(
    std::map<endpoint, std::uint32_t> services, instant now)
{
    publications_.push_back({now, std::move(services)});
}

void invariant_checker::record_evacuation(const std::string& data_centre,
                                          bool is_evacuated, instant now)
{
    if (is_evacuated)
    {
        evacuated_since_.try_emplace(data_centre, now);
    }
    else
    {
        evacuated_since_.erase(data_centre);
    }
}

void invariant_checker::record_draining_target(target_process target,
                                               instant now)
{
    draining_since_.try_emplace(target, now);
}

void invariant_checker::record_daemon_fault(std::uint32_t daemon, instant until)
{
    instant& fault_end = daemon_fault_end_.at(daemon);
    fault_end = std::max(fault_end, until);
}

void invariant_checker::record_global_fault(instant until)
{
    global_fault_end_ = std::max(global_fault_end_.value_or(until), until);
}

void invariant_checker::record_target_end(target_process target, instant now)
{
    ended_processes_.try_emplace(target, now);
}

void invariant_checker::record_daemon_start(std::uint32_t daemon, instant now)
{
    daemon_start_.at(daemon) = now;
}

bool invariant_checker::had_recovered(std::uint32_t daemon, instant time) const
{
    return daemon_fault_end_.at(daemon) + recovery_limit <= time;
}

bool invariant_checker::is_allowed_service(std::uint32_t daemon,
                                           const endpoint& reference,
                                           std::uint32_t service,
                                           instant now) const
{
    // A configuration is allowed until the next one must have taken effect. A
    // daemon that can't read the store keeps its configuration, however old.
    for (std::size_t i = publications_.size(); i-- > 0;)
    {
        const auto binding = publications_[i].services.find(reference);
        if (binding != publications_[i].services.end() &&
            binding->second == service)
        {
            return true;
        }
        const instant deadline = publications_[i].publication_time +
                                 configuration_apply_limit + timing_tolerance;
        if (now > deadline &&
            had_recovered(daemon, publications_[i].publication_time))
        {
            return false;
        }
    }
    return false;
}

void invariant_checker::record_opening_packet(
    std::uint32_t daemon, const endpoint& reference, target_process target,
    std::uint32_t service, const std::string& data_centre, instant now)
{
    ++counts_.packets_checked;
    if (!is_allowed_service(daemon, reference, service, now))
    {
        record_violation(describe_daemon(daemon) + " opened a flow to " +
                         to_string(reference) + " at a target of service " +
                         service_name(service));
    }
    const auto limit_exceeded = [&](instant since, duration limit)
    {
        return now > since + limit + timing_tolerance &&
               had_recovered(daemon, since);
    };
    const auto evacuation = evacuated_since_.find(data_centre);
    if (evacuation != evacuated_since_.end() &&
        limit_exceeded(evacuation->second, evacuation_limit))
    {
        record_violation(describe_daemon(daemon) +
                         " opened a flow in data centre " + data_centre +
                         ", which is evacuated");
    }
    const auto drain = draining_since_.find(target);
    if (drain != draining_since_.end() &&
        limit_exceeded(drain->second, drain_limit))
    {
        record_violation(describe_daemon(daemon) + " opened a flow at " +
                         describe(target) + ", which is draining");
    }
}

void invariant_checker::record_packet(std::uint32_t daemon,
                                      const endpoint& caller,
                                      target_process opening_target,
                                      target_process target)
{
    ++counts_.packets_checked;
    if (target != opening_target && is_running(opening_target))
    {
        record_violation(describe_daemon(daemon) + " sent a packet of flow " +
                         to_string(caller) + " to " + describe(target) +
                         "; the flow is open at " + describe(opening_target));
    }
}

void invariant_checker::record_flow_opened()
{
    ++counts_.opened;
}

void invariant_checker::record_flow_refused()
{
    ++counts_.refused;
}

void invariant_checker::record_flow_not_opened(const endpoint& caller,
                                               instant start_time)
{
    ++counts_.not_opened;
    if (is_free_of_global_faults(start_time))
    {
        record_violation("flow " + to_string(caller) +
                         " did not open, although no fault was active");
    }
}

void invariant_checker::record_flow_finished()
{
    ++counts_.finished;
}

void invariant_checker::record_flow_reset(const endpoint& caller,
                                          target_process target)
{
    if (is_running(target))
    {
        record_violation("open flow " + to_string(caller) + " was reset; " +
                         describe(target) + " is running");
        return;
    }
    ++counts_.lost_with_target;
}

void invariant_checker::record_unanswered_flow(const endpoint& caller,
                                               target_process target,
                                               std::uint32_t packet_count)
{
    if (is_running(target))
    {
        record_violation("open flow " + to_string(caller) +
                         " got no reply to " + std::to_string(packet_count) +
                         " packets sent to running daemons; " +
                         describe(target) + " is running");
        return;
    }
    ++counts_.lost_with_target;
}

void invariant_checker::record_request_ended(std::uint32_t daemon,
                                             const endpoint& caller,
                                             target_process target,
                                             instant request_time, instant now)
{
    const auto ended = ended_processes_.find(target);
    // Faults of the store do not matter here, but a daemon that started or was
    // paused has no evidence yet.
    if (ended == ended_processes_.end() ||
        daemon_start_.at(daemon) + recovery_limit > request_time)
    {
        return;
    }
    const duration wait = now - std::max(request_time, ended->second);
    ++counts_.requests_told;
    counts_.longest_wait = std::max(counts_.longest_wait, wait);
    if (wait > silence_limit)
    {
        record_violation("flow " + to_string(caller) + " waited for " +
                         std::to_string(wait / 1ms) + " ms at " +
                         describe_daemon(daemon) + "; " + describe(target) +
                         " is silent");
    }
}

void invariant_checker::record_daemon_exit(std::uint32_t daemon, int status,
                                           bool requested, bool in_time)
{
    if (!requested)
    {
        record_violation(describe_daemon(daemon) +
                         " exited unexpectedly with status " +
                         std::to_string(status));
    }
    else if (!in_time)
    {
        record_violation(describe_daemon(daemon) +
                         " exited after its grace period");
    }
}

void invariant_checker::record_violation(std::string description)
{
    violations_.push_back(std::move(description));
}

} // namespace catkinkeel::soak
