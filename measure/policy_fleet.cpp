#include "measure/policy_fleet.hpp"

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/testing/fake_balancer_group.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>

namespace catkinkeel::measure
{

namespace
{

using testing::delivered;
using testing::lost;
using testing::packet_outcome;
using testing::refused;

/// Returned instead of a temporary `lost{}`, for which g++ 12 reports an
/// uninitialized member (-Wmaybe-uninitialized).
const packet_outcome dropped{lost{}};

/// Entry VMs with the balancer of the decision library. Forwards every call to
/// a `fake_balancer_group`.
class catkinkeel_fleet final : public simulated_fleet
{
public:
    explicit catkinkeel_fleet(const fleet_settings& settings)
        : group_({.seed = settings.seed,
                  .balancer = {.load_epsilon = settings.load_epsilon}})
    {
    }

    testing::packet_forwarder& forwarder() override
    {
        return group_;
    }
    void add_vm(vm_id id, data_centre_id data_centre) override
    {
        group_.add_vm(id, data_centre);
    }
    void kill(vm_id id) override
    {
        group_.kill(id);
    }
    void leave(vm_id id) override
    {
        group_.leave(id);
    }
    void remove(vm_id id) override
    {
        group_.remove(id);
    }
    void apply_set(vm_id id, const published_objects& objects) override
    {
        group_.install_set(id, objects);
    }
    void publish(const published_objects& objects, duration spread) override
    {
        group_.publish(objects, spread);
    }
    void run_for(duration time) override
    {
        group_.run_for(time);
    }
    [[nodiscard]] bool handover_finished() const override
    {
        return group_.holdings_settled();
    }
    [[nodiscard]] std::uint64_t control_bytes(vm_id id) const override
    {
        return group_.control_bytes(id);
    }
    [[nodiscard]] balancer_stats stats(vm_id id) override
    {
        return group_.at(id).stats();
    }

private:
    testing::fake_balancer_group group_;
};

/// Base class of the two baseline policies. Keeps the VMs and the published set
/// that each of them has in effect, and sends packets to random running VMs. A
/// derived class selects the target in `receive`.
class baseline_fleet : public simulated_fleet, private testing::packet_forwarder
{
public:
    explicit baseline_fleet(const fleet_settings& settings)
        : packet_forwarder(settings.seed)
    {
    }

    testing::packet_forwarder& forwarder() override
    {
        return *this;
    }
    void add_vm(vm_id id, data_centre_id data_centre) override
    {
        vms_[id] = {.identity = {.id = id,
                                 .data_centre = data_centre,
                                 .incarnation = 1,
                                 .listed = true},
                    .changed_at = now_};
        cached_maps_.clear();
    }
    void kill(vm_id id) override
    {
        vms_.at(id).running = false;
        vms_.at(id).changed_at = now_;
    }
    void leave(vm_id id) override
    {
        vms_.at(id).leaving = true;
        vms_.at(id).changed_at = now_;
    }
    void remove(vm_id id) override
    {
        vms_.at(id).running = false;
    }
    void apply_set(vm_id id, const published_objects& objects) override
    {
        vm& to = vms_.at(id);
        to.set = std::make_shared<const published_set>(objects);
        to.plan = std::make_shared<const placement_plan>(
            *to.set, data_centre_group(*to.set, to.identity.data_centre),
            placement_plan{});
        cached_maps_.erase(id);
    }
    void publish(const published_objects& objects, duration spread) override
    {
        for (auto& [id, each] : vms_)
        {
            const auto wait = static_cast<duration::rep>(
                random.unit() * static_cast<double>(spread.count()));
            each.sets_due.insert_or_assign(now_ + duration(wait), objects);
        }
    }
    void run_for(duration time) override
    {
        constexpr duration step_length = 10ms;
        for (const instant end = now_ + time; now_ < end;)
        {
            now_ += step_length;
            for (auto& [id, each] : vms_)
            {
                while (!each.sets_due.empty() &&
                       each.sets_due.begin()->first <= now_)
                {
                    apply_set(id, each.sets_due.begin()->second);
                    each.sets_due.erase(each.sets_due.begin());
                }
            }
        }
    }
    [[nodiscard]] bool handover_finished() const override
    {
        return true;
    }
    [[nodiscard]] std::uint64_t control_bytes(vm_id /*id*/) const override
    {
        return 0;
    }
    [[nodiscard]] balancer_stats stats(vm_id /*id*/) override
    {
        return {};
    }

    packet_outcome send_to_random_vm(const packet_facts& facts) override
    {
        std::vector<vm_id> entry_vms;
        for (const auto& [id, each] : vms_)
        {
            if (each.running && !each.leaving)
            {
                entry_vms.push_back(id);
            }
        }
        return receive(facts, entry_vms[random.below(entry_vms.size())]);
    }
    [[nodiscard]] instant now() const override
    {
        return now_;
    }

protected:
    struct vm
    {
        member identity;
        bool running = true;
        bool leaving = false;
        /// When the VM was added, was killed or began to leave.
        instant changed_at{};
        /// The set in effect on the VM; null until the first one.
        published_set_ptr set;
        placement_plan_ptr plan;
        /// Published sets that the VM has not applied yet, by due time.
        std::map<instant, published_objects> sets_due;
        /// Targets by flow. Used by `round_robin_fleet` only.
        std::unordered_map<flow_key, target_id> flow_records;
        std::size_t next_target_index = 0;
    };

    /// Handles a packet that the fabric has sent to `entry_vm`.
    virtual packet_outcome receive(const packet_facts& facts,
                                   vm_id entry_vm) = 0;

    [[nodiscard]] vm& at(vm_id id)
    {
        return vms_.at(id);
    }

    /// Returns the owners of the buckets according to the member view of VM
    /// `id`. The VM sees changes of the others after the same delays as in
    /// `fake_balancer_group`.
    const bucket_map& bucket_map_of(vm_id id)
    {
        constexpr duration detection_delay = 2200ms;
        constexpr duration update_delay = 300ms;
        const vm& deciding_vm = vms_.at(id);
        member_view view{.self = id};
        for (const auto& [other_id, other] : vms_)
        {
            member seen = other.identity;
            const duration since_change = now_ - other.changed_at;
            // The VM doesn't see a new VM before `update_delay`. As in
            // `fake_balancer_group`, the view then lists the new VM as dead, so
            // that it owns no buckets. The VMs of the initial fleet are added
            // at 1 s, the start of the clock, and see each other at once.
            const bool join_pending = other.running && !other.leaving &&
                                      since_change < update_delay &&
                                      now_ > instant{2s} && other_id != id;
            const bool dead =
                !other.running &&
                (other.leaving || since_change >= detection_delay);
            const bool left = other.leaving && since_change >= update_delay;
            seen.state = dead || join_pending ? liveness::dead
                         : left               ? liveness::left
                                              : liveness::alive;
            view.members.push_back(seen);
        }
        cached_map& cached = cached_maps_[id];
        if (cached.view != view)
        {
            cached = {view, bucket_map(*deciding_vm.set, view)};
        }
        return cached.map;
    }

private:
    struct cached_map
    {
        member_view view;
        bucket_map map;
    };

    instant now_{1s};
    std::map<vm_id, vm> vms_;
    std::map<vm_id, cached_map> cached_maps_;
};

packet_outcome deliver_if_in_service(const published_set& set, target_id id,
                                     vm_id deciding_vm)
{
    const target* found = set.find_target(id);
    if (found == nullptr || !set.in_service(found->data_centre))
    {
        return dropped;
    }
    return delivered{id, deciding_vm};
}

/// Stateless: each VM selects the target of every packet by the placement table
/// of the set that is in effect on it.
class hashing_fleet final : public baseline_fleet
{
public:
    using baseline_fleet::baseline_fleet;

private:
    packet_outcome receive(const packet_facts& facts, vm_id entry_vm) override
    {
        const vm& deciding_vm = at(entry_vm);
        const reference* ref =
            deciding_vm.set ? deciding_vm.set->find_reference(
                                  facts.key.service_side, facts.key.transport)
                            : nullptr;
        if (ref == nullptr)
        {
            return dropped;
        }
        const std::uint64_t hash = hash_flow(facts.key);
        const placement_table_ptr table = deciding_vm.plan->table(
            ref->service,
            home_data_centre(bucket_of(hash), deciding_vm.plan->group()));
        const std::optional<target_id> chosen =
            table ? choose_target(*table, hash) : std::nullopt;
        if (!chosen)
        {
            return refused{refusal_reason::no_target};
        }
        return delivered{*chosen, entry_vm};
    }
};

/// The owner of a bucket selects targets round robin and records them. The
/// records are not replicated. A packet without a record is treated as the
/// first packet of a new flow.
class round_robin_fleet final : public baseline_fleet
{
public:
    using baseline_fleet::baseline_fleet;

private:
    packet_outcome receive(const packet_facts& facts, vm_id entry_vm) override
    {
        constexpr int max_hops = 4;
        const std::uint64_t hash = hash_flow(facts.key);
        vm_id current_vm = entry_vm;
        for (int hops = 0; hops <= max_hops; ++hops)
        {
            if (!at(current_vm).running || !at(current_vm).set)
            {
                return dropped;
            }
            const std::optional<vm_id> owner =
                bucket_map_of(current_vm).owner(bucket_of(hash));
            if (!owner)
            {
                return dropped;
            }
            if (*owner == current_vm)
            {
                return select_target(facts, current_vm);
            }
            current_vm = *owner;
        }
        return lost{discard_reason::hop_limit};
    }

    /// Returns the outcome of a packet at the owner of its bucket.
    packet_outcome select_target(const packet_facts& facts, vm_id self)
    {
        vm& deciding_vm = at(self);
        const auto record = deciding_vm.flow_records.find(facts.key);
        if (record != deciding_vm.flow_records.end() &&
            facts.phase != flow_phase::opening)
        {
            const packet_outcome outcome =
                deliver_if_in_service(*deciding_vm.set, record->second, self);
            if (facts.phase == flow_phase::finishing)
            {
                deciding_vm.flow_records.erase(record);
            }
            return outcome;
        }
        const reference* ref = deciding_vm.set->find_reference(
            facts.key.service_side, facts.key.transport);
        if (ref == nullptr)
        {
            return dropped;
        }
        const std::span<const target> service_targets =
            deciding_vm.set->targets_of(ref->service);
        for (std::size_t tried_count = 0; tried_count < service_targets.size();
             ++tried_count)
        {
            const target& candidate =
                service_targets[deciding_vm.next_target_index++ %
                                service_targets.size()];
            if (candidate.wish == target_wish::serve &&
                deciding_vm.set->in_service(candidate.data_centre))
            {
                deciding_vm.flow_records.insert_or_assign(facts.key,
                                                          candidate.id);
                return delivered{candidate.id, self};
            }
        }
        return refused{refusal_reason::no_target};
    }
};

template <class Fleet>
std::unique_ptr<simulated_fleet> make_fleet(const fleet_settings& settings)
{
    return std::make_unique<Fleet>(settings);
}

constexpr std::array<policy, 3> all_policies{
    {{"catkinkeel", &make_fleet<catkinkeel_fleet>},
     {"hashing", &make_fleet<hashing_fleet>},
     {"round_robin", &make_fleet<round_robin_fleet>}}};

} // namespace

std::span<const policy> policies()
{
    return all_policies;
}

testing::packet_outcome
observed_forwarder::send_to_random_vm(const packet_facts& facts)
{
    const testing::packet_outcome outcome = inner_.send_to_random_vm(facts);
    if (on_packet_outcome)
    {
        on_packet_outcome(facts, outcome, inner_.now());
    }
    return outcome;
}

} // namespace catkinkeel::measure
