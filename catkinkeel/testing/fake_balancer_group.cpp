#include "catkinkeel/testing/fake_balancer_group.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::testing
{

namespace
{

constexpr duration step_length = 10ms;
constexpr std::uint64_t steps_per_tick = 10;
/// Size assumed for messages other than replicate and handover.
constexpr std::uint64_t control_message_bytes = 60;

std::uint64_t message_size(const flow_message& content)
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

admission_limit fake_admission_limits::admission_limit_of(
    const target& for_target, double share, std::uint32_t /*held_flows*/,
    instant /*now*/) const
{
    if (const auto found = limits_by_target.find(for_target.id);
        found != limits_by_target.end())
    {
        return found->second;
    }
    return {static_cast<std::uint32_t>(for_target.connections * share),
            admission_limit_reason::warm};
}

fake_balancer_group::fake_balancer_group(
    const balancer_group_settings& settings)
    : packet_forwarder(settings.seed), settings_(settings)
{
}

void fake_balancer_group::add_vm(vm_id id, data_centre_id data_centre)
{
    vm added;
    added.info = {.id = id,
                  .data_centre = data_centre,
                  .packets = {{id.value}, 1},
                  .incarnation = 1,
                  .listed = true};
    added.instance =
        std::make_unique<balancer>(settings_.balancer, id, data_centre,
                                   (++last_session_) << 32U, admission_limits);
    added.changed_at = now_;
    added.running_since = now_;
    added.control_budget = settings_.max_control_burst_bytes;
    added.view.self = id;
    vms_.insert_or_assign(id, std::move(added));
}

void fake_balancer_group::kill(vm_id id)
{
    vm& affected = vms_.at(id);
    affected.running = false;
    affected.changed_at = now_;
}

void fake_balancer_group::leave(vm_id id)
{
    vm& affected = vms_.at(id);
    affected.leaving = true;
    affected.changed_at = now_;
}

void fake_balancer_group::remove(vm_id id)
{
    vms_.at(id).running = false;
}

void fake_balancer_group::pause(vm_id id)
{
    vm& affected = vms_.at(id);
    affected.paused = true;
    affected.changed_at = now_;
}

void fake_balancer_group::resume(vm_id id)
{
    vm& affected = vms_.at(id);
    const bool was_declared_dead =
        now_ - affected.changed_at >= settings_.detection_delay;
    affected.paused = false;
    affected.changed_at = now_;
    affected.running_since = now_;
    if (was_declared_dead)
    {
        ++affected.info.incarnation;
    }
    affected.instance->mark_holdings_unconfirmed(now_);
}

void fake_balancer_group::resume_all()
{
    for (const auto& [id, each] : vms_)
    {
        if (each.paused)
        {
            resume(id);
        }
    }
}

void fake_balancer_group::install_set(vm_id id,
                                      const published_objects& objects)
{
    balancer& instance = *vms_.at(id).instance;
    const auto set = std::make_shared<const published_set>(objects);
    instance.apply_set(set, instance.make_plan(*set), now_);
}

void fake_balancer_group::publish(const published_objects& objects,
                                  duration spread)
{
    for (auto& [id, each] : vms_)
    {
        const auto wait = static_cast<duration::rep>(
            random.unit() * static_cast<double>(spread.count()));
        each.sets_due.insert_or_assign(now_ + duration(wait), objects);
    }
}

void fake_balancer_group::partition(
    std::function<bool(vm_id, vm_id)> is_blocked)
{
    previous_partition_ =
        std::exchange(current_partition_, std::move(is_blocked));
    partition_changed_at_ = now_;
}

bool fake_balancer_group::are_separated(vm_id a, vm_id b) const
{
    return current_partition_ && current_partition_(a, b);
}

std::vector<vm_id> fake_balancer_group::live_vms() const
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

bool fake_balancer_group::holdings_settled() const
{
    return std::ranges::all_of(vms_,
                               [](const auto& entry)
                               {
                                   const vm& each = entry.second;
                                   return !each.running || each.paused ||
                                          each.instance->holdings_settled();
                               });
}

void fake_balancer_group::run_for(duration time)
{
    const instant end = now_ + time;
    while (now_ < end)
    {
        step();
    }
}

void fake_balancer_group::step()
{
    now_ += step_length;
    ++steps_;
    update_views();
    deliver_due_messages();
    for (auto& [id, each] : vms_)
    {
        if (each.running && !each.paused)
        {
            advance_vm(each);
        }
    }
}

liveness fake_balancer_group::observed_state(const vm& observer,
                                             const vm& other) const
{
    if (&observer == &other)
    {
        return other.leaving ? liveness::left : liveness::alive;
    }
    const bool detection_elapsed =
        now_ - other.changed_at >= settings_.detection_delay;
    const bool update_elapsed =
        now_ - other.changed_at >= settings_.update_delay;
    const bool unresponsive = !other.running || other.paused;
    if (unresponsive && (detection_elapsed || other.leaving))
    {
        return liveness::dead;
    }
    if (are_separated(observer.info.id, other.info.id) &&
        now_ - partition_changed_at_ >= settings_.detection_delay)
    {
        return liveness::dead;
    }
    const bool heal_pending =
        !current_partition_ && previous_partition_ &&
        previous_partition_(observer.info.id, other.info.id) &&
        now_ - partition_changed_at_ < settings_.update_delay;
    if (heal_pending)
    {
        return liveness::dead;
    }
    const bool join_pending =
        !update_elapsed && observer.view.find(other.info.id) == nullptr;
    if (join_pending)
    {
        return liveness::dead;
    }
    if (!unresponsive && !update_elapsed)
    {
        // It joined, resumed or began to leave within `update_delay`; the view
        // does not show that yet.
        const member* previous = observer.view.find(other.info.id);
        return previous->state;
    }
    return other.leaving ? liveness::left : liveness::alive;
}

void fake_balancer_group::update_views()
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
            member observed = other.info;
            observed.state = observed_state(each, other);
            if (observed.state == liveness::dead &&
                each.view.find(other_id) == nullptr)
            {
                continue;
            }
            view.members.push_back(observed);
        }
        if (view.members != each.view.members)
        {
            ++view.revision;
            each.view = view;
            each.instance->apply_view(view, now_);
        }
    }
}

void fake_balancer_group::advance_vm(vm& advanced)
{
    while (!advanced.sets_due.empty() &&
           advanced.sets_due.begin()->first <= now_)
    {
        install_set(advanced.info.id, advanced.sets_due.begin()->second);
        advanced.sets_due.erase(advanced.sets_due.begin());
    }
    advanced.instance->set_opening_allowed(now_ - advanced.running_since >
                                           settings_.update_delay);
    if (steps_ % steps_per_tick == 0)
    {
        advanced.instance->tick(now_);
    }
    const std::chrono::duration<double> elapsed = step_length;
    advanced.control_budget =
        std::min(settings_.max_control_burst_bytes,
                 advanced.control_budget +
                     settings_.control_bytes_per_second * elapsed.count());
    const byte_count budget{
        static_cast<std::uint64_t>(std::max(0.0, advanced.control_budget))};
    for (const outgoing_flow_message& message :
         advanced.instance->take_messages(budget, now_))
    {
        const std::uint64_t message_bytes = message_size(message.content);
        advanced.sent_control_bytes += message_bytes;
        advanced.control_budget -= static_cast<double>(message_bytes);
        send_message(advanced.info.id, message);
    }
}

void fake_balancer_group::send_message(vm_id from,
                                       const outgoing_flow_message& message)
{
    const link_conditions& link = settings_.link;
    if (are_separated(from, message.to))
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
        in_transit_.emplace(
            now_ + link.delay + duration(jitter),
            message_in_transit{from, message.to, message.content});
    }
}

void fake_balancer_group::deliver_due_messages()
{
    while (!in_transit_.empty() && in_transit_.begin()->first <= now_)
    {
        const message_in_transit arrived =
            std::move(in_transit_.begin()->second);
        in_transit_.erase(in_transit_.begin());
        const auto to = vms_.find(arrived.to);
        if (to != vms_.end() && to->second.running && !to->second.paused)
        {
            to->second.instance->handle(arrived.from, arrived.content, now_);
        }
    }
}

packet_outcome fake_balancer_group::send(const packet_facts& facts,
                                         vm_id first_vm)
{
    packet_facts forwarded = facts;
    vm_id current_vm = first_vm;
    for (;;)
    {
        const auto found = vms_.find(current_vm);
        if (found == vms_.end() || !found->second.running ||
            found->second.paused)
        {
            return lost{};
        }
        const verdict result = found->second.instance->decide(forwarded, now_);
        if (const auto* to = std::get_if<deliver>(&result))
        {
            return delivered{to->target, current_vm};
        }
        if (const auto* refusal = std::get_if<refuse>(&result))
        {
            return refused{refusal->reason};
        }
        if (const auto* discarded = std::get_if<discard>(&result))
        {
            return lost{discarded->reason};
        }
        const vm_id next = std::get<relay>(result).vm;
        if (are_separated(current_vm, next))
        {
            return lost{};
        }
        current_vm = next;
        ++relayed_[next];
        ++forwarded.hops;
    }
}

packet_outcome fake_balancer_group::send_to_random_vm(const packet_facts& facts)
{
    const std::vector<vm_id> entries = live_vms();
    if (entries.empty())
    {
        return lost{};
    }
    return send(facts, entries[random.below(entries.size())]);
}

} // namespace catkinkeel::testing
