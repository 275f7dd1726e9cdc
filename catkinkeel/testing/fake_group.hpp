#pragma once

// Several balancers joined by a fake link, fake membership and a fake fabric
// with virtual time, for tests and measurements of the decisions. Not a model
// of a cluster: one packet is carried at a time, and only control messages take
// time.

#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/testing/packet_carrier.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace catkinkeel::testing
{

/// An admission limit source whose limits a test sets. The limit of other
/// targets is their published connections times the share.
class fake_admission_limits : public admission_limit_source
{
public:
    [[nodiscard]] admission_limit
    admission_limit_of(const target& which, double share, std::uint32_t held,
                       instant now) const override;

    std::map<target_id, admission_limit> fixed;
};

/// How control messages travel.
struct link_conditions
{
    duration delay = 5ms;
    /// Further delay of up to this much, so that messages overtake each other.
    duration jitter = 5ms;
    double loss = 0;
    double duplication = 0;
};

struct group_settings
{
    std::uint64_t seed = 1;
    balancer_settings balancer;
    link_conditions link;
    /// Control bytes a second of each VM, and the burst.
    double control_rate = 1536;
    double control_burst = 30000;
    /// From the death of a VM to the others' seeing it.
    duration detection = 2200ms;
    /// From a join, a graceful leave or a return to the others' seeing it.
    duration update_delay = 300ms;
};

class fake_group final : public packet_carrier
{
public:
    explicit fake_group(const group_settings& settings);

    /// Starts a VM; the others see it after `update_delay`.
    void add_vm(vm_id id, data_centre_id data_centre);
    /// Sudden death.
    void kill(vm_id id);
    /// Graceful leave: the VM goes on until `remove`.
    void leave(vm_id id);
    void remove(vm_id id);
    /// The VM does nothing until `resume`; the others see a death.
    void pause(vm_id id);
    void resume(vm_id id);
    void resume_all();

    /// Gives the set to a VM now.
    void give_set(vm_id id, const published_objects& objects);
    /// Gives the set to each VM after a random part of `spread`.
    void publish(const published_objects& objects, duration spread);

    /// Cuts links between VMs for which `cut(a, b)`; the other sees a death
    /// after `detection`. Null heals.
    void partition(std::function<bool(vm_id, vm_id)> cut);

    /// Moves time on in steps of 10 ms.
    void run_for(duration time);

    /// Carries a packet from the fabric into `entry` and along relays.
    packet_end send(const packet_facts& facts, vm_id entry);
    /// As `send`, at a random live VM.
    packet_end spray(const packet_facts& facts) override;

    [[nodiscard]] instant now() const override
    {
        return now_;
    }
    [[nodiscard]] balancer& at(vm_id id)
    {
        return *vms_.at(id).core;
    }
    [[nodiscard]] std::vector<vm_id> live() const;
    /// Control bytes a VM has sent, by the estimate of `estimated_size`.
    [[nodiscard]] std::uint64_t control_bytes(vm_id id) const
    {
        return vms_.at(id).bytes;
    }
    [[nodiscard]] bool holdings_settled() const;

    /// Packets that were relayed to a VM since the last `clear_visits`.
    [[nodiscard]] std::uint64_t relayed_to(vm_id id) const
    {
        const auto found = relayed_.find(id);
        return found == relayed_.end() ? 0 : found->second;
    }
    void clear_visits()
    {
        relayed_.clear();
    }

    fake_admission_limits admission_limits;

private:
    struct vm
    {
        member about;
        std::unique_ptr<balancer> core;
        bool running = true;
        bool paused = false;
        bool leaving = false;
        instant changed_at{};
        /// Start, or end of a pause; peers acknowledge it a little later.
        instant woken_at{};
        member_view view;
        double budget = 0;
        std::uint64_t bytes = 0;
        std::map<instant, published_objects> sets_due;
    };
    struct letter
    {
        vm_id from;
        vm_id to;
        flow_message content;
    };

    void step();
    void post(vm_id from, const outgoing_flow_message& message);
    void deliver_due();
    void update_views();
    void serve(vm& each);
    [[nodiscard]] bool cut_between(vm_id a, vm_id b) const;
    [[nodiscard]] liveness seen(const vm& by, const vm& other) const;

    group_settings settings_;
    instant now_{1s};
    std::map<vm_id, vm> vms_;
    std::multimap<instant, letter> in_transit_;
    std::function<bool(vm_id, vm_id)> cut_;
    instant cut_changed_{};
    std::function<bool(vm_id, vm_id)> healed_cut_;
    std::map<vm_id, std::uint64_t> relayed_;
    std::uint64_t sessions_ = 0;
    std::uint64_t steps_ = 0;
};

} // namespace catkinkeel::testing
