#pragma once

// Several balancers in virtual time, for tests and measurements of the decision
// where a packet goes. The control messages between the balancers, their views
// of the members, and the fabric, the network that delivers a caller's packet
// to one of the VMs, are simulated. Packets are forwarded one at a time and
// take no time; control messages are delayed. Daemons, sockets and the
// membership protocol are not part of the simulation.

#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/testing/packet_forwarder.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace catkinkeel::testing
{

/// An admission limit source in which a test sets limits of targets. For other
/// targets, the limit is the published connections times the share.
class fake_admission_limits : public admission_limit_source
{
public:
    [[nodiscard]] admission_limit
    admission_limit_of(const target& for_target, double share,
                       std::uint32_t held_flows, instant now) const override;

    /// The limits set by the test.
    std::map<target_id, admission_limit> limits_by_target;
};

/// Transmission of control messages between VMs.
struct link_conditions
{
    duration delay = 5ms;
    /// Maximum random delay added to `delay`, which reorders messages.
    duration jitter = 5ms;
    /// Probabilities.
    double loss = 0;
    double duplication = 0;
};

struct balancer_group_settings
{
    std::uint64_t seed = 1;
    balancer_settings balancer;
    link_conditions link;
    /// Budget of each VM for control messages: bytes per second, and the
    /// maximum that accumulates.
    double control_bytes_per_second = 1536;
    double max_control_burst_bytes = 30000;
    /// Time from the death of a VM until the others consider it dead.
    duration detection_delay = 2200ms;
    /// Time from a join, a graceful leave, a resume or the end of a partition
    /// until the member views of the other VMs show it.
    duration update_delay = 300ms;
};

class fake_balancer_group final : public packet_forwarder
{
public:
    explicit fake_balancer_group(const balancer_group_settings& settings);

    /// Starts a VM; it enters the views of the others after `update_delay`.
    void add_vm(vm_id id, data_centre_id data_centre);
    /// Stops the VM; the others consider it dead after `detection_delay`.
    void kill(vm_id id);
    /// Starts a graceful leave; the VM runs until `remove`.
    void leave(vm_id id);
    /// Stops a VM after `leave`; the others consider it dead at once.
    void remove(vm_id id);
    /// Suspends the VM until `resume`. The others consider it dead after
    /// `detection_delay`; after a pause that long it resumes with a higher
    /// incarnation.
    void pause(vm_id id);
    void resume(vm_id id);
    void resume_all();

    /// Applies the set on one VM now.
    void install_set(vm_id id, const published_objects& objects);
    /// Applies the set on each VM after a random delay of up to `spread`.
    void publish(const published_objects& objects, duration spread);

    /// Blocks messages and relayed packets between the VMs for which
    /// `is_blocked(a, b)` is true; they consider each other dead after
    /// `detection_delay`. A null function ends the partition; they are alive
    /// again in the views after `update_delay`.
    void partition(std::function<bool(vm_id, vm_id)> is_blocked);

    /// Advances the time in steps of 10 ms.
    void run_for(duration time);

    /// Delivers a packet from the fabric to the VM `first_vm` and follows its
    /// relays until a VM sends it to a target, refuses it or discards it. The
    /// packet is lost if it reaches a VM that is stopped or paused, or if a
    /// partition blocks a relay.
    packet_outcome send(const packet_facts& facts, vm_id first_vm);
    /// Same as `send`, to a random live VM. The packet is lost if there is
    /// none.
    packet_outcome send_to_random_vm(const packet_facts& facts) override;

    [[nodiscard]] instant now() const override
    {
        return now_;
    }
    [[nodiscard]] balancer& at(vm_id id)
    {
        return *vms_.at(id).instance;
    }
    /// VMs that run and are neither paused nor leaving.
    [[nodiscard]] std::vector<vm_id> live_vms() const;
    /// Control bytes that a VM has sent. The sizes of replicate and handover
    /// messages are those of `estimated_size`; others count as 60 bytes.
    [[nodiscard]] std::uint64_t control_bytes(vm_id id) const
    {
        return vms_.at(id).sent_control_bytes;
    }
    /// Whether each VM that is neither stopped nor paused holds exactly the
    /// buckets that it owns, all of them confirmed. Unrelated to the settled
    /// flows of `caller_model`.
    [[nodiscard]] bool holdings_settled() const;

    /// Number of packets relayed to a VM since the last `clear_relay_counts`.
    [[nodiscard]] std::uint64_t relay_count(vm_id id) const
    {
        const auto found = relayed_.find(id);
        return found == relayed_.end() ? 0 : found->second;
    }
    void clear_relay_counts()
    {
        relayed_.clear();
    }

    fake_admission_limits admission_limits;

private:
    struct vm
    {
        member info;
        std::unique_ptr<balancer> instance;
        bool running = true;
        bool paused = false;
        bool leaving = false;
        /// Time of the last start, kill, leave, pause or resume.
        instant changed_at{};
        /// Time of the start or the last resume. The VM may open flows once
        /// more than `update_delay` has passed since, which stands for the
        /// acknowledgement by a peer that a VM needs for it.
        instant running_since{};
        member_view view;
        /// In bytes; may be negative after a message that exceeded it.
        double control_budget = 0;
        std::uint64_t sent_control_bytes = 0;
        /// Published sets by the time at which this VM applies them.
        std::map<instant, published_objects> sets_due;
    };
    struct message_in_transit
    {
        vm_id from;
        vm_id to;
        flow_message content;
    };

    void step();
    void send_message(vm_id from, const outgoing_flow_message& message);
    void deliver_due_messages();
    void update_views();
    void advance_vm(vm& advanced);
    [[nodiscard]] bool are_separated(vm_id a, vm_id b) const;
    [[nodiscard]] liveness observed_state(const vm& observer,
                                          const vm& other) const;

    balancer_group_settings settings_;
    instant now_{1s};
    std::map<vm_id, vm> vms_;
    std::multimap<instant, message_in_transit> in_transit_;
    /// Null if there is no partition.
    std::function<bool(vm_id, vm_id)> current_partition_;
    instant partition_changed_at_{};
    /// The value of `current_partition_` before the last change. For
    /// `update_delay` after the end of a partition, the VMs that it separated
    /// consider each other dead.
    std::function<bool(vm_id, vm_id)> previous_partition_;
    std::map<vm_id, std::uint64_t> relayed_;
    std::uint64_t last_session_ = 0;
    std::uint64_t steps_ = 0;
};

} // namespace catkinkeel::testing
