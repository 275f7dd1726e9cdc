#include "catkinkeel/testing/fake_group.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::testing
{

namespace
{

constexpr duration step_length = 10ms;
constexpr std::uint64_t steps_per_tick = 10;
constexpr std::uint64_t control_message_bytes = 60;

std::uint64_t size_of(const flow_message& content)
{
    if (const auto* update = std::get_if<replicate>(&content))
    {
        return estimated_size(*update).value;
    }
    if (const auto* offer = std::get_if<handover>(&content))
    {
        return estimated_size(offer->state).value;
    }
    return control_message_bytes;
}

} // namespace

admission_limit
fake_admission_limits::admission_limit_of(const target& which, double share,
                                          std::uint32_t /*held*/,
                                          instant /*now*/) const
{
    if (const auto found = fixed.find(which.id); found != fixed.end())
    {
        return found->second;
    }
    return {static_cast<std::uint32_t>(which.connections * share),
            admission_limit_reason::warm};
}

fake_group::fake_group(const group_settings& settings)
    : packet_carrier(settings.seed), settings_(settings)
{
}

void fake_group::add_vm(vm_id id, data_centre_id data_centre)
{
    vm added;
    added.about = {.id = id,
                   .data_centre = data_centre,
                   .packets = {{id.value}, 1},
                   .incarnation = 1,
                   .listed = true};
    added.core =
        std::make_unique<balancer>(settings_.balancer, id, data_centre,
                                   (++sessions_) << 32U, admission_limits);
    added.changed_at = now_;
    added.woken_at = now_;
    added.budget = settings_.control_burst;
    added.view.self = id;
    vms_.insert_or_assign(id, std::move(added));
}

void fake_group::kill(vm_id id)
{
    vm& each = vms_.at(id);
    each.running = false;
    each.changed_at = now_;
}

void fake_group::leave(vm_id id)
{
    vm& each = vms_.at(id);
    each.leaving = true;
    each.changed_at = now_;
}

void fake_group::remove(vm_id id)
{
    vms_.at(id).running = false;
}

void fake_group::pause(vm_id id)
{
    vm& each = vms_.at(id);
    each.paused = true;
    each.changed_at = now_;
}

void fake_group::resume(vm_id id)
{
    vm& each = vms_.at(id);
    const bool was_declared_dead =
        now_ - each.changed_at >= settings_.detection;
    each.paused = false;
    each.changed_at = now_;
    each.woken_at = now_;
    if (was_declared_dead)
    {
        ++each.about.incarnation;
    }
    each.core->mark_holdings_unconfirmed(now_);
}

void fake_group::resume_all()
{
    for (const auto& [id, each] : vms_)
    {
        if (each.paused)
        {
            resume(id);
        }
    }
}

void fake_group::give_set(vm_id id, const published_objects& objects)
{
    balancer& core = *vms_.at(id).core;
    const auto set = std::make_shared<const published_set>(objects);
    core.apply_set(set, core.make_plan(*set), now_);
}

void fake_group::publish(const published_objects& objects, duration spread)
{
    for (auto& [id, each] : vms_)
    {
        const auto wait = static_cast<duration::rep>(
            random.unit() * static_cast<double>(spread.count()));
        each.sets_due.insert_or_assign(now_ + duration(wait), objects);
    }
}

void fake_group::partition(std::function<bool(vm_id, vm_id)> cut)
{
    healed_cut_ = std::exchange(cut_, std::move(cut));
    cut_changed_ = now_;
}

bool fake_group::cut_between(vm_id a, vm_id b) const
{
    return cut_ && cut_(a, b);
}

std::vector<vm_id> fake_group::live() const
{
    std::vector<vm_id> ids;
    for (const auto& [id, each] : vms_)
    {
        if (each.running && !each.paused && !each.leaving)
        {
            ids.push_back(id);
        }
    }
    return ids;
}

bool fake_group::holdings_settled() const
{
    return std::ranges::all_of(vms_,
                               [](const auto& entry)
                               {
                                   const vm& each = entry.second;
                                   return !each.running || each.paused ||
                                          each.core->holdings_settled();
                               });
}

void fake_group::run_for(duration time)
{
    const instant end = now_ + time;
    while (now_ < end)
    {
        step();
    }
}

void fake_group::step()
{
    now_ += step_length;
    ++steps_;
    update_views();
    deliver_due();
    for (auto& [id, each] : vms_)
    {
        if (each.running && !each.paused)
        {
            serve(each);
        }
    }
}

liveness fake_group::seen(const vm& by, const vm& other) const
{
    if (&by == &other)
    {
        return other.leaving ? liveness::left : liveness::alive;
    }
    const bool known_long = now_ - other.changed_at >= settings_.detection;
    const bool known_short = now_ - other.changed_at >= settings_.update_delay;
    const bool silent = !other.running || other.paused;
    if (silent && (known_long || other.leaving))
    {
        return liveness::dead;
    }
    if (cut_between(by.about.id, other.about.id) &&
        now_ - cut_changed_ >= settings_.detection)
    {
        return liveness::dead;
    }
    const bool heals = !cut_ && healed_cut_ &&
                       healed_cut_(by.about.id, other.about.id) &&
                       now_ - cut_changed_ < settings_.update_delay;
    if (heals)
    {
        return liveness::dead;
    }
    const bool hidden = !known_short && by.view.find(other.about.id) == nullptr;
    if (hidden)
    {
        return liveness::dead;
    }
    if (!silent && !known_short)
    {
        // Joined, resumed or began to leave just now: as before.
        const member* before = by.view.find(other.about.id);
        return before->state;
    }
    return other.leaving ? liveness::left : liveness::alive;
}

void fake_group::update_views()
{
    for (auto& [id, each] : vms_)
    {
        if (!each.running || each.paused)
        {
            continue;
        }
        member_view view{.self = id, .revision = each.view.revision};
        for (const auto& [other_id, other] : vms_)
        {
            member seen_as = other.about;
            seen_as.state = seen(each, other);
            if (seen_as.state == liveness::dead &&
                each.view.find(other_id) == nullptr)
            {
                continue;
            }
            view.members.push_back(seen_as);
        }
        if (view.members != each.view.members)
        {
            ++view.revision;
            each.view = view;
            each.core->apply_view(view, now_);
        }
    }
}

void fake_group::serve(vm& each)
{
    while (!each.sets_due.empty() && each.sets_due.begin()->first <= now_)
    {
        give_set(each.about.id, each.sets_due.begin()->second);
        each.sets_due.erase(each.sets_due.begin());
    }
    each.core->set_opening_allowed(now_ - each.woken_at >
                                   settings_.update_delay);
    if (steps_ % steps_per_tick == 0)
    {
        each.core->tick(now_);
    }
    const std::chrono::duration<double> passed = step_length;
    each.budget =
        std::min(settings_.control_burst,
                 each.budget + settings_.control_rate * passed.count());
    const byte_count budget{
        static_cast<std::uint64_t>(std::max(0.0, each.budget))};
    for (const outgoing_flow_message& message :
         each.core->take_messages(budget, now_))
    {
        const std::uint64_t bytes = size_of(message.content);
        each.bytes += bytes;
        each.budget -= static_cast<double>(bytes);
        post(each.about.id, message);
    }
}

void fake_group::post(vm_id from, const outgoing_flow_message& message)
{
    const link_conditions& link = settings_.link;
    if (cut_between(from, message.to))
    {
        return;
    }
    const int copies = random.unit() < link.duplication ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        if (random.unit() < link.loss)
        {
            continue;
        }
        const auto jitter = static_cast<duration::rep>(
            random.unit() * static_cast<double>(link.jitter.count()));
        in_transit_.emplace(now_ + link.delay + duration(jitter),
                            letter{from, message.to, message.content});
    }
}

void fake_group::deliver_due()
{
    while (!in_transit_.empty() && in_transit_.begin()->first <= now_)
    {
        const letter arrived = std::move(in_transit_.begin()->second);
        in_transit_.erase(in_transit_.begin());
        const auto to = vms_.find(arrived.to);
        if (to != vms_.end() && to->second.running && !to->second.paused)
        {
            to->second.core->handle(arrived.from, arrived.content, now_);
        }
    }
}

packet_end fake_group::send(const packet_facts& facts, vm_id entry)
{
    packet_facts moving = facts;
    vm_id where = entry;
    for (;;)
    {
        const auto found = vms_.find(where);
        if (found == vms_.end() || !found->second.running ||
            found->second.paused)
        {
            return lost{};
        }
        const verdict result = found->second.core->decide(moving, now_);
        if (const auto* to = std::get_if<deliver>(&result))
        {
            return delivered{to->target, where};
        }
        if (const auto* no = std::get_if<refuse>(&result))
        {
            return refused{no->reason};
        }
        if (const auto* dropped = std::get_if<discard>(&result))
        {
            return lost{dropped->reason};
        }
        const vm_id next = std::get<relay>(result).vm;
        if (cut_between(where, next))
        {
            return lost{};
        }
        where = next;
        ++relayed_[next];
        ++moving.hops;
    }
}

packet_end fake_group::spray(const packet_facts& facts)
{
    const std::vector<vm_id> entries = live();
    if (entries.empty())
    {
        return lost{};
    }
    return send(facts, entries[random.below(entries.size())]);
}

} // namespace catkinkeel::testing
