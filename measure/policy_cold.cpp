// Flows on a cold target, placed through several target registries of one data
// centre in virtual time, with partitions, restarts, pauses, lagging lists,
// lost news and misleading reports.

#include "catkinkeel/target/target_registry.hpp"

#include <algorithm>
#include <array>
#include <deque>

#include "measure/policy_rows.hpp"

namespace catkinkeel::measure
{

namespace
{

constexpr std::size_t fleet_size = 4;
constexpr target_id subject{7};
constexpr std::uint32_t capacity = 256;
constexpr duration tick_length = 100ms;
constexpr duration list_period = 5s;
/// The platform's answers lag by up to this much.
constexpr duration list_delay = 20s;
constexpr duration possibly_alive_hold = 60s;

/// Every VM ramps a cold target alone.
class everyone_rule final : public cold_start_rule
{
public:
    [[nodiscard]] double ramp_share(const target& /*which*/,
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
std::shared_ptr<const cold_start_rule> make_either_rule()
{
    return std::make_shared<steward_rule>(steward_bounds{},
                                          &may_act_by_either_condition);
}
std::shared_ptr<const cold_start_rule> make_everyone_rule()
{
    return std::make_shared<everyone_rule>();
}

constexpr std::array<named_rule, 3> rules{
    {{"steward", &make_steward_rule},
     {"steward_by_either_condition", &make_either_rule},
     {"every_vm_alone", &make_everyone_rule}}};

using vm_set = std::array<bool, fleet_size>;

/// One process on one VM.
struct process
{
    target_registry targets;
    std::array<instant, fleet_size> held_until{};
    std::array<std::optional<instant>, fleet_size> heard;
    vm_set listed{};
    std::optional<instant> list_as_of;
    std::optional<instant> listed_since;
    /// Flows of the target's present instance.
    std::uint32_t held = 0;
};

struct cold_result
{
    std::uint64_t starts = 0;
    std::uint64_t placed = 0;
    std::uint64_t beyond = 0;
    std::uint64_t worst = 0;
    std::uint64_t worst_warm = 0;
};

/// VMs that place as many flows on the target as they may.
class cold_site
{
public:
    cold_site(std::uint64_t seed, std::shared_ptr<const cold_start_rule> rule)
        : random_(seed), rule_(std::move(rule))
    {
        set_ = std::make_shared<const published_set>(
            published_objects{.version = {1},
                              .services = {{.id = {1}}},
                              .data_centres = {{.id = {1}}},
                              .targets = {{.id = subject,
                                           .service = {1},
                                           .data_centre = {1},
                                           .connections = capacity}}});
        list_.fill(true);
        history_.assign(list_delay / tick_length + 1, list_);
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            start(i);
        }
    }

    cold_result run(duration length)
    {
        for (const instant end = now_ + length; now_ < end;)
        {
            now_ += tick_length;
            disturb();
            history_.push_front(list_);
            history_.pop_back();
            for (std::size_t i = 0; i < fleet_size; ++i)
            {
                if (acts(i))
                {
                    step(i, *running_[i]);
                    place(*running_[i]);
                }
            }
            count();
        }
        return result_;
    }

private:
    bool chance(std::uint64_t one_in)
    {
        return random_.below(one_in) == 0;
    }

    [[nodiscard]] bool acts(std::size_t i) const
    {
        return running_[i] && paused_until_[i] <= now_;
    }

    [[nodiscard]] bool connected(std::size_t a, std::size_t b) const
    {
        return acts(a) && acts(b) && side_[a] == side_[b];
    }

    static vm_id id_of(std::size_t i)
    {
        return {static_cast<std::uint32_t>(i + 1)};
    }

    void start(std::size_t i)
    {
        running_[i].emplace(process{target_registry(
            rule_,
            static_cast<std::uint64_t>(now_.time_since_epoch().count()))});
        running_[i]->targets.apply_set(set_, now_);
    }

    void disturb()
    {
        const std::size_t i = random_.below(fleet_size);
        if (chance(600))
        {
            side_[i] = random_.below(2);
        }
        if (chance(600))
        {
            platform_reachable_[i] = !chance(3);
        }
        if (chance(400) && now_ - off_since_[i] > possibly_alive_hold)
        {
            const bool stays = running_[i] ? !chance(9) : chance(4);
            off_since_[i] = list_[i] && !stays ? now_ : off_since_[i];
            list_[i] = stays;
        }
        if (running_[i] && chance(800))
        {
            orphans_ += running_[i]->held;
            running_[i].reset();
            paused_until_[i] = now_;
        }
        if (!running_[i] && chance(20))
        {
            start(i);
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

    /// The target's flows are gone, and its ramp begins at the first flow.
    void restart_target()
    {
        ++instance_;
        ++result_.starts;
        began_.reset();
        counted_ = 0;
        orphans_ = 0;
        for (auto& each : running_)
        {
            if (each)
            {
                each->held = 0;
            }
        }
    }

    void read_list(std::size_t self, process& reader)
    {
        const vm_set fresh = history_[random_.below(history_.size())];
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            if (reader.listed[i] && !fresh[i])
            {
                reader.held_until[i] =
                    std::max(reader.held_until[i], now_ + possibly_alive_hold);
            }
        }
        reader.listed = fresh;
        const instant as_of = now_ - list_delay;
        const bool unbroken =
            reader.listed_since &&
            now_ - *reader.list_as_of <= steward_bounds{}.max_list_age;
        reader.list_as_of = as_of;
        reader.listed_since = !fresh[self] ? std::nullopt
                              : unbroken   ? reader.listed_since
                                           : std::optional(as_of);
    }

    [[nodiscard]] steward_view view_of(std::size_t self,
                                       const process& of) const
    {
        steward_view view{.self = id_of(self),
                          .data_centre = {1},
                          .list_as_of = of.list_as_of,
                          .listed_since = of.listed_since};
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            if (i == self || of.listed[i] || now_ < of.held_until[i])
            {
                const bool alive =
                    i == self || (of.heard[i] && now_ - *of.heard[i] < 3s);
                view.possibly_alive.push_back(
                    {id_of(i), {1}, alive, of.heard[i], of.heard[i]});
            }
        }
        return view;
    }

    [[nodiscard]] std::uint32_t carried() const
    {
        std::uint32_t sum = orphans_;
        for (const auto& each : running_)
        {
            sum += each ? each->held : 0;
        }
        return sum;
    }

    void step(std::size_t self, process& each)
    {
        const bool list_due =
            (now_.time_since_epoch() + self * 1s) % list_period < tick_length;
        if (list_due && platform_reachable_[self])
        {
            read_list(self, each);
        }
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            if (i != self && connected(self, i) && !chance(3))
            {
                each.heard[i] = now_;
                each.held_until[i] = now_ + possibly_alive_hold;
            }
        }
        each.targets.apply_steward_view(view_of(self, each), now_);
        each.targets.tick(now_);
        if (!each.targets.targets_to_poll(now_).empty())
        {
            const load_report report{instance_, report_state::ready,
                                     chance(4) ? 0 : carried(), 0};
            each.targets.apply_report(
                subject,
                chance(5)
                    ? outcome<load_report>(failure{failure_kind::timeout, ""})
                    : outcome<load_report>(report),
                each.held, now_);
        }
        const target_update update = each.targets.take_updates(now_);
        for (std::size_t i = 0; i < fleet_size; ++i)
        {
            if (i != self && connected(self, i) && !chance(3))
            {
                running_[i]->targets.apply_update(id_of(self), update, now_);
            }
        }
    }

    /// Places up to the VM's limit, once it knows of the present instance: the
    /// time until a report shows a restart is not the ramp's.
    void place(process& each)
    {
        const target_state& known = *each.targets.target_state_of(subject);
        if (known.instance != instance_)
        {
            return;
        }
        const std::uint32_t limit =
            each.targets
                .admission_limit_of(*set_->find_target(subject),
                                    1.0 / fleet_size, each.held, now_)
                .limit;
        if (limit > each.held)
        {
            if (known.steward_ramp && known.steward_ramp->step > 0)
            {
                began_ = std::min(began_.value_or(now_),
                                  known.steward_ramp->last_step_at);
            }
            began_ = began_.value_or(now_);
            result_.placed += limit - each.held;
            each.held = limit;
        }
    }

    /// Counts each flow above the bound once. The bound is 2 flows at the first
    /// one, doubled every 5 s. From its reaching the capacity, flows above the
    /// capacity are counted apart: the target is warm then.
    void count()
    {
        const std::uint64_t steps =
            began_ ? static_cast<std::uint64_t>((now_ - *began_) / 5s) : 0;
        const std::uint64_t allowed = std::uint64_t{2}
                                      << std::min<std::uint64_t>(steps, 30);
        const bool ramping = allowed < capacity;
        const std::uint64_t most = ramping ? allowed : capacity;
        const std::uint64_t over = carried() > most ? carried() - most : 0;
        if (!ramping)
        {
            result_.worst_warm = std::max(result_.worst_warm, over);
            return;
        }
        result_.beyond += over > counted_ ? over - counted_ : 0;
        counted_ = std::max(counted_, over);
        result_.worst = std::max(result_.worst, over);
    }

    random_source random_;
    std::shared_ptr<const cold_start_rule> rule_;
    published_set_ptr set_;
    instant now_{1000s};
    std::array<std::optional<process>, fleet_size> running_;
    std::array<std::uint64_t, fleet_size> side_{};
    vm_set platform_reachable_{true, true, true, true};
    std::array<instant, fleet_size> paused_until_{};
    vm_set list_{};
    std::array<instant, fleet_size> off_since_{};
    std::deque<vm_set> history_;
    std::uint64_t instance_ = 1;
    /// Flows whose process died.
    std::uint32_t orphans_ = 0;
    std::optional<instant> began_;
    std::uint64_t counted_ = 0;
    cold_result result_;
};

} // namespace

std::vector<row> measure_cold_target(std::uint64_t seed)
{
    constexpr std::uint64_t runs = 30;
    std::vector<row> rows;
    for (const named_rule& rule : rules)
    {
        cold_result all;
        for (std::uint64_t n = 0; n < runs; ++n)
        {
            cold_site site(seed * runs + n, rule.make());
            const cold_result one = site.run(600s);
            all.starts += one.starts;
            all.placed += one.placed;
            all.beyond += one.beyond;
            all.worst = std::max(all.worst, one.worst);
            all.worst_warm = std::max(all.worst_warm, one.worst_warm);
        }
        const std::string prefix = rule.name;
        rows.push_back({prefix + ".beyond_ramp",
                        static_cast<double>(all.beyond), "flows",
                        bound::at_most, 0});
        rows.push_back({prefix + ".beyond_ramp_worst_moment",
                        static_cast<double>(all.worst), "flows"});
        rows.push_back({prefix + ".beyond_capacity_when_warm",
                        static_cast<double>(all.worst_warm), "flows"});
        rows.push_back(
            {prefix + ".placed", static_cast<double>(all.placed), "flows"});
        rows.push_back({prefix + ".cold_starts",
                        static_cast<double>(all.starts), "starts"});
    }
    return rows;
}

} // namespace catkinkeel::measure
