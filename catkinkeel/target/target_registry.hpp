#pragma once

// This VM's state of every target of the set in effect: which targets to poll,
// what to send to the other VMs, and how many flows each target may hold. Not
// thread-safe; the decide thread owns it.
//
// Example:
//   target_registry targets(std::make_shared<steward_rule>(), first_sequence);
//   targets.apply_set(set, now);
//   targets.apply_steward_view(view, now);
//   for (target_id id : targets.targets_to_poll(now)) { fetch(id); }
//   targets.apply_report(id, parse_load_report(body), held, now);
//   send_to_all(targets.take_updates(now));
//   send_each(targets.take_grant_updates(demand, now));

#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/target/admission_limit.hpp"
#include "catkinkeel/target/grants.hpp"
#include "catkinkeel/target/steward.hpp"
#include "catkinkeel/target/target_state.hpp"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace catkinkeel
{

/// Interval between polls of a target; each target is polled at its own offset
/// within the period. The period does not grow while nothing changes, since a
/// target that restarts without notice is detected only by its next report.
inline constexpr duration poll_period = 1s;
/// Maximum number of changes in one message; at 40 bytes each it stays below 2
/// KB.
inline constexpr std::size_t max_changes_per_update = 32;
/// Number of times that a change is sent, at growing intervals, because
/// updates may be lost.
inline constexpr std::uint8_t transmissions_per_change = 3;
/// A VM that has just become the poller of a target announces it as cold only
/// after this delay. In the meantime other VMs can report that the target is
/// warm.
inline constexpr duration cold_announcement_delay = ramp::period;
/// An unchanged status is sent again after this time, which repairs lost
/// updates.
inline constexpr duration update_refresh_period = 300s;
/// Minimum interval between updates of the connection count, which is sent
/// when it moves by a step of 1/8 of the capacity.
inline constexpr duration load_update_period = 10s;

class target_registry final : public admission_limit_source
{
public:
    /// `first_sequence` must be greater than every sequence number that an
    /// earlier process of this VM used, e.g. the wall clock in nanoseconds.
    target_registry(std::shared_ptr<const cold_start_rule> rule,
                    std::uint64_t first_sequence);

    /// Puts a set into effect; an older version is ignored. A target is cold
    /// if it is new, has moved to another address or data centre, or is in a
    /// data centre out of service.
    void apply_set(published_set_ptr set, instant now);

    /// Applies the result of a poll. `held_flows` is the number of flows that
    /// this VM holds on the target. Ignored if this VM does not poll the
    /// target.
    void apply_report(target_id id, const outcome<load_report>& report,
                      std::uint32_t held_flows, instant now);

    /// Applies an update from another VM. Ignored if the sender is not
    /// possibly alive. A status is ignored if a later one of the same target
    /// from the same sender was applied.
    void apply_update(vm_id from, const target_update& update, instant now);

    /// Applies a member view in which members or times have changed.
    void apply_steward_view(steward_view view, instant now);

    /// Advances the time-dependent state; call it every 100 ms. A gap over 1 s
    /// restarts the ramps.
    void tick(instant now);

    [[nodiscard]] admission_limit
    admission_limit_of(const target& for_target, double share,
                       std::uint32_t held_flows, instant now) const override;

    /// Targets whose poll has become due since the previous call.
    std::vector<target_id> targets_to_poll(instant now);

    /// Changes to send to all other VMs, at most `max_changes_per_update`.
    target_update take_updates(instant now);

    /// Grant requests and grants to send, by receiver. Requests are due each
    /// `request_period`; a grant is due after a request and when its limit
    /// grows.
    std::map<vm_id, target_update>
    take_grant_updates(const traffic_demand& demand, instant now);

    /// The update for a VM that has just started: the targets that this VM
    /// polls, and those that the new VM is to poll according to this VM's view.
    /// From the status of the latter the new VM recognizes a target that is
    /// already warm, because the instance in its report is the same.
    target_update update_for(vm_id newcomer);

    /// Null if the set in effect does not contain the target.
    [[nodiscard]] const target_state* target_state_of(target_id id) const;

private:
    struct sent_status
    {
        target_status status;
        instant sent_at;
        std::uint8_t transmissions = 0;
    };
    struct entry
    {
        target definition;
        bool data_centre_in_service = true;
        target_state observed_state;
        std::optional<vm_id> steward;
        std::optional<vm_id> poller;
        /// When this VM started to poll the target, if it does.
        instant polled_since;
        std::optional<sent_status> last_sent;
        /// Division of the ramp limit while this VM is the steward.
        grant_ledger ledger;
        /// The last grant that this VM received from a steward.
        std::optional<received_grant> grant;
    };
    struct service_health
    {
        /// Targets with the wish to serve, in data centres in service.
        std::uint32_t serving = 0;
        /// Those of them that are reachable.
        std::uint32_t reachable = 0;
    };

    [[nodiscard]] bool polled_here(const entry& target_entry) const;
    [[nodiscard]] report_reader reader_of(const entry& target_entry) const;
    [[nodiscard]] admission_limit warm_limit(const entry& target_entry,
                                             double share,
                                             std::uint32_t held_flows) const;
    [[nodiscard]] admission_limit cold_limit(const entry& target_entry,
                                             double share,
                                             std::uint32_t held_flows,
                                             instant now) const;
    [[nodiscard]] double own_ramp_share(const entry& target_entry,
                                        instant now) const;
    void divide_ramp(target_id id, entry& each, instant now);
    void apply_requests(vm_id from, const grant_requests& requests,
                        instant now);
    void apply_grants(const target_grants& grants, instant now);
    void take_requests(const traffic_demand& demand, instant now,
                       std::map<vm_id, target_update>& updates_by_vm);
    void take_grants(instant now,
                     std::map<vm_id, target_update>& updates_by_vm);
    void assign_pollers(instant now);
    /// Computes `health_`.
    void count_reachable();
    void advance(entry& each, instant now);
    target_status next_sequenced_status(target_id id,
                                        const target_state& observed_state);

    std::shared_ptr<const cold_start_rule> rule_;
    std::uint64_t sequence_;
    /// Identifies this process in requests for grants.
    std::uint64_t session_;
    published_set_ptr set_;
    steward_view view_;
    std::unordered_map<target_id, entry> entries_;
    std::vector<target_id> polled_targets_;
    std::unordered_map<service_id, service_health> health_;
    /// Highest sequence number by sender and target.
    std::unordered_map<std::uint64_t, std::uint64_t> latest_sequences_;
    std::optional<instant> last_full_update_;
    std::optional<instant> last_poll_check_;
    std::optional<instant> last_request_;
};

} // namespace catkinkeel
