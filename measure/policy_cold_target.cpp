// Measures how many flows several VMs of one data centre open on a cold target,
// in virtual time. The VMs decide by their target registries while partitions,
// restarts, pauses, outdated VM lists, lost updates and misleading reports
// occur.

#include "catkinkeel/target/target_registry.hpp"

#include <algorithm>
#include <array>
#include <deque>

#include "measure/policy_scenarios.hpp"

namespace catkinkeel::measure
{

namespace
{

constexpr std::size_t vm_count = 4;
constexpr target_id cold_target{7};
constexpr std::uint32_t target_capacity = 256;
constexpr duration tick_period = 100ms;
constexpr duration list_read_period = 5s;
/// Maximum age of the VM list that the platform returns.
constexpr duration max_list_delay = 20s;
constexpr duration possibly_alive_period = 60s;

/// Allows every VM the whole ramp limit of a cold target.
class independent_ramp_rule final : public cold_start_rule
{
public:
    [[nodiscard]] double ramp_share(const target& /*for_target*/,
                                    std::optional<vm_id> /*steward*/,
                                    const steward_view& /*view*/,
                                    instant /*now*/) const override
    {
        return 1.0;
    }
};

struct named_rule
{
    const char* name;
    std::shared_ptr<const cold_start_rule> (*make)();
};

std::shared_ptr<const cold_start_rule> make_steward_rule()
{
    return std::make_shared<steward_rule>();
}
std::shared_ptr<const cold_start_rule> make_either_condition_rule()
{
    return std::make_shared<steward_rule>(steward_bounds{},
                                          &may_act_by_either_condition);
}
std::shared_ptr<const cold_start_rule> make_independent_ramp_rule()
{
    return std::make_shared<independent_ramp_rule>();
}

constexpr std::array<named_rule, 3> rules{
    {{"steward", &make_steward_rule},
     {"steward_by_either_condition", &make_either_condition_rule},
     {"every_vm_alone", &make_independent_ramp_rule}}};

using vm_flags = std::array<bool, vm_count>;

/// The state of the daemon process on one VM.
struct vm_process
{
    target_registry targets;
    std::array<instant, vm_count> possibly_alive_until{};
    std::array<std::optional<instant>, vm_count> last_received;
    vm_flags listed{};
    std::optional<instant> list_as_of;
    std::optional<instant> listed_since;
    /// Flows that the process has open on the current instance of the target.
    std::uint32_t open_flow_count = 0;
};

struct cold_result
{
    std::uint64_t cold_starts = 0;
    /// Flows opened.
    std::uint64_t placement_count = 0;
    /// Flows above the ramp limit, each counted once.
    std::uint64_t above_ramp = 0;
    /// Maximum number of open flows above the ramp limit at any time.
    std::uint64_t max_above_ramp = 0;
    /// Maximum number of open flows above the capacity of the warm target.
    std::uint64_t max_above_capacity = 0;
};

/// VMs that open as many flows on the target as their admission limits allow.
class cold_target_simulation
{
public:
    cold_target_simulation(std::uint64_t seed,
                           std::shared_ptr<const cold_start_rule> rule)
        : random_(seed), rule_(std::move(rule))
    {
        set_ = std::make_shared<const published_set>(
            published_objects{.version = {1},
                              .services = {{.id = {1}}},
                              .data_centres = {{.id = {1}}},
                              .targets = {{.id = cold_target,
                                           .service = {1},
                                           .data_centre = {1},
                                           .connections = target_capacity}}});
        list_.fill(true);
        history_.assign(max_list_delay / tick_period + 1, list_);
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            start_process(i);
        }
    }

    cold_result run(duration run_time)
    {
        for (const instant end = now_ + run_time; now_ < end;)
        {
            now_ += tick_period;
            inject_faults();
            history_.push_front(list_);
            history_.pop_back();
            for (std::size_t i = 0; i < vm_count; ++i)
            {
                if (is_active(i))
                {
                    run_tick(i, *processes_[i]);
                    place_flows(*processes_[i]);
                }
            }
            count_excess();
        }
        return result_;
    }

private:
    /// True with a probability of 1 / `one_in`.
    bool chance(std::uint64_t one_in)
    {
        return random_.below(one_in) == 0;
    }

    [[nodiscard]] bool is_active(std::size_t i) const
    {
        return processes_[i] && paused_until_[i] <= now_;
    }

    [[nodiscard]] bool connected(std::size_t a, std::size_t b) const
    {
        return is_active(a) && is_active(b) && partition_[a] == partition_[b];
    }

    static vm_id id_of(std::size_t i)
    {
        return {static_cast<std::uint32_t>(i + 1)};
    }

    void start_process(std::size_t i)
    {
        processes_[i].emplace(vm_process{target_registry(
            rule_,
            static_cast<std::uint64_t>(now_.time_since_epoch().count()))});
        processes_[i]->targets.apply_set(set_, now_);
    }

    /// Applies random faults to a random VM and sometimes restarts the target.
    /// Called once per tick.
    void inject_faults()
    {
        const std::size_t i = random_.below(vm_count);
        if (chance(600))
        {
            partition_[i] = random_.below(2);
        }
        if (chance(600))
        {
            platform_reachable_[i] = !chance(3);
        }
        // The steward rule assumes that a removed VM stays off the list for
        // more than `max_list_age` plus the platform's delay.
        if (chance(400) && now_ - removed_at_[i] > possibly_alive_period)
        {
            const bool stays_listed = processes_[i] ? !chance(9) : chance(4);
            removed_at_[i] = list_[i] && !stays_listed ? now_ : removed_at_[i];
            list_[i] = stays_listed;
        }
        if (processes_[i] && chance(800))
        {
            orphaned_flows_ += processes_[i]->open_flow_count;
            processes_[i].reset();
            paused_until_[i] = now_;
        }
        if (!processes_[i] && chance(20))
        {
            start_process(i);
        }
        if (chance(800))
        {
            paused_until_[i] = now_ + random_.below(90) * 1s;
        }
        if (chance(1200))
        {
            restart_target();
        }
    }

    /// Ends all flows of the target. The next ramp starts with the first flow
    /// on the new instance.
    void restart_target()
    {
        ++instance_;
        ++result_.cold_starts;
        ramp_start_.reset();
        counted_excess_ = 0;
        orphaned_flows_ = 0;
        for (auto& each : processes_)
        {
            if (each)
            {
                each->open_flow_count = 0;
            }
        }
    }

    void read_list(std::size_t self_index, vm_process& reader)
    {
        const vm_flags delayed_list = history_[random_.below(history_.size())];
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (reader.listed[i] && !delayed_list[i])
            {
                reader.possibly_alive_until[i] =
                    std::max(reader.possibly_alive_until[i],
                             now_ + possibly_alive_period);
            }
        }
        reader.listed = delayed_list;
        const instant as_of = now_ - max_list_delay;
        const bool run_unbroken =
            reader.listed_since &&
            now_ - *reader.list_as_of <= steward_bounds{}.max_list_age;
        reader.list_as_of = as_of;
        reader.listed_since = !delayed_list[self_index] ? std::nullopt
                              : run_unbroken            ? reader.listed_since
                                                        : std::optional(as_of);
    }

    [[nodiscard]] steward_view view_of(std::size_t self_index,
                                       const vm_process& viewer) const
    {
        steward_view view{.self = id_of(self_index),
                          .data_centre = {1},
                          .list_as_of = viewer.list_as_of,
                          .listed_since = viewer.listed_since};
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (i == self_index || viewer.listed[i] ||
                now_ < viewer.possibly_alive_until[i])
            {
                const bool alive =
                    i == self_index || (viewer.last_received[i] &&
                                        now_ - *viewer.last_received[i] < 3s);
                view.possibly_alive.push_back({id_of(i),
                                               {1},
                                               alive,
                                               viewer.last_received[i],
                                               viewer.last_received[i]});
            }
        }
        return view;
    }

    [[nodiscard]] std::uint32_t total_flows() const
    {
        std::uint32_t sum = orphaned_flows_;
        for (const auto& each : processes_)
        {
            sum += each ? each->open_flow_count : 0;
        }
        return sum;
    }

    void run_tick(std::size_t self_index, vm_process& each)
    {
        const bool list_due =
            (now_.time_since_epoch() + self_index * 1s) % list_read_period <
            tick_period;
        if (list_due && platform_reachable_[self_index])
        {
            read_list(self_index, each);
        }
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (i != self_index && connected(self_index, i) && !chance(3))
            {
                each.last_received[i] = now_;
                each.possibly_alive_until[i] = now_ + possibly_alive_period;
            }
        }
        each.targets.apply_steward_view(view_of(self_index, each), now_);
        each.targets.tick(now_);
        if (!each.targets.targets_to_poll(now_).empty())
        {
            const load_report report{instance_, report_state::ready,
                                     chance(4) ? 0 : total_flows(), 0};
            each.targets.apply_report(
                cold_target,
                chance(5)
                    ? outcome<load_report>(failure{failure_kind::timeout, ""})
                    : outcome<load_report>(report),
                each.open_flow_count, now_);
        }
        const target_update update = each.targets.take_updates(now_);
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (i != self_index && connected(self_index, i) && !chance(3))
            {
                processes_[i]->targets.apply_update(id_of(self_index), update,
                                                    now_);
            }
        }
    }

    /// Opens flows up to the VM's admission limit. Does nothing until a report
    /// or an update has shown the current instance to the VM, since the time
    /// until a restart is detected is not part of the ramp.
    void place_flows(vm_process& each)
    {
        const target_state& observed_state =
            *each.targets.target_state_of(cold_target);
        if (observed_state.instance != instance_)
        {
            return;
        }
        const std::uint32_t limit =
            each.targets
                .admission_limit_of(*set_->find_target(cold_target),
                                    1.0 / vm_count, each.open_flow_count, now_)
                .limit;
        if (limit > each.open_flow_count)
        {
            if (observed_state.steward_ramp &&
                observed_state.steward_ramp->step > 0)
            {
                ramp_start_ =
                    std::min(ramp_start_.value_or(now_),
                             observed_state.steward_ramp->last_step_at);
            }
            ramp_start_ = ramp_start_.value_or(now_);
            result_.placement_count += limit - each.open_flow_count;
            each.open_flow_count = limit;
        }
    }

    /// Counts each flow above the ramp limit once. The limit is 2 flows when
    /// the first flow is opened and doubles every 5 s. Once it reaches the
    /// capacity, the target is warm, and flows above the capacity are counted
    /// separately.
    void count_excess()
    {
        const std::uint64_t doublings =
            ramp_start_ ? static_cast<std::uint64_t>((now_ - *ramp_start_) / 5s)
                        : 0;
        const std::uint64_t ramp_limit =
            std::uint64_t{2} << std::min<std::uint64_t>(doublings, 30);
        const bool ramping = ramp_limit < target_capacity;
        const std::uint64_t flow_limit = ramping ? ramp_limit : target_capacity;
        const std::uint64_t excess =
            total_flows() > flow_limit ? total_flows() - flow_limit : 0;
        if (!ramping)
        {
            result_.max_above_capacity =
                std::max(result_.max_above_capacity, excess);
            return;
        }
        result_.above_ramp +=
            excess > counted_excess_ ? excess - counted_excess_ : 0;
        counted_excess_ = std::max(counted_excess_, excess);
        result_.max_above_ramp = std::max(result_.max_above_ramp, excess);
    }

    random_source random_;
    std::shared_ptr<const cold_start_rule> rule_;
    published_set_ptr set_;
    instant now_{1000s};
    std::array<std::optional<vm_process>, vm_count> processes_;
    std::array<std::uint64_t, vm_count> partition_{};
    vm_flags platform_reachable_{true, true, true, true};
    std::array<instant, vm_count> paused_until_{};
    /// The platform's current VM list.
    vm_flags list_{};
    std::array<instant, vm_count> removed_at_{};
    /// The lists of the last `max_list_delay`, one per tick, newest first.
    std::deque<vm_flags> history_;
    std::uint64_t instance_ = 1;
    /// Open flows of processes that have died.
    std::uint32_t orphaned_flows_ = 0;
    std::optional<instant> ramp_start_;
    std::uint64_t counted_excess_ = 0;
    cold_result result_;
};

} // namespace

std::vector<row> measure_cold_target(std::uint64_t seed)
{
    constexpr std::uint64_t runs = 30;
    std::vector<row> rows;
    for (const named_rule& rule : rules)
    {
        cold_result total;
        for (std::uint64_t n = 0; n < runs; ++n)
        {
            cold_target_simulation simulation(seed * runs + n, rule.make());
            const cold_result run_result = simulation.run(600s);
            total.cold_starts += run_result.cold_starts;
            total.placement_count += run_result.placement_count;
            total.above_ramp += run_result.above_ramp;
            total.max_above_ramp =
                std::max(total.max_above_ramp, run_result.max_above_ramp);
            total.max_above_capacity = std::max(total.max_above_capacity,
                                                run_result.max_above_capacity);
        }
        const std::string prefix = rule.name;
        rows.push_back({prefix + ".beyond_ramp",
                        static_cast<double>(total.above_ramp), "flows",
                        bound::at_most, 0});
        rows.push_back({prefix + ".beyond_ramp_worst_moment",
                        static_cast<double>(total.max_above_ramp), "flows"});
        rows.push_back({prefix + ".beyond_capacity_when_warm",
                        static_cast<double>(total.max_above_capacity),
                        "flows"});
        rows.push_back({prefix + ".placed",
                        static_cast<double>(total.placement_count), "flows"});
        rows.push_back({prefix + ".cold_starts",
                        static_cast<double>(total.cold_starts), "starts"});
    }
    return rows;
}

} // namespace catkinkeel::measure
