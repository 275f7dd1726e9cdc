#include "catkinkeel/target/target_registry.hpp"

#include "catkinkeel/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkinkeel
{

namespace
{

constexpr std::uint64_t poll_salt = 0x706f6c6cULL;
/// Interval at which targets that other VMs poll are updated: time alone
/// changes their state only while reports are missing.
constexpr duration full_update_period = 1s;

std::uint64_t sender_key(vm_id from, target_id about)
{
    return (static_cast<std::uint64_t>(from.value) << 32U) | about.value;
}

std::int64_t poll_slot(target_id id, instant now)
{
    const auto offset = static_cast<std::int64_t>(
        hash_pair(poll_salt, id.value) %
        static_cast<std::uint64_t>(poll_period.count()));
    return (now.time_since_epoch().count() + offset) / poll_period.count();
}

bool same_location(const target& a, const target& b)
{
    return a.address == b.address && a.data_centre == b.data_centre;
}

bool same_possibly_alive(const steward_view& a, const steward_view& b)
{
    return a.self == b.self &&
           std::ranges::equal(
               a.possibly_alive, b.possibly_alive,
               [](const possibly_alive_vm& x, const possibly_alive_vm& y)
               {
                   return x.id == y.id && x.data_centre == y.data_centre &&
                          x.alive == y.alive;
               });
}

bool is_possibly_alive(const steward_view& view, vm_id id)
{
    return std::ranges::binary_search(view.possibly_alive, id, {},
                                      &possibly_alive_vm::id);
}

target_status status_of(target_id id, const target_state& observed_state)
{
    return {.id = id,
            .instance = observed_state.instance.value_or(0),
            .draining = observed_state.state == report_state::draining,
            .reachable = observed_state.reachable,
            .connections = observed_state.connections,
            .busy_slots = observed_state.busy_slots,
            .warm = observed_state.warm};
}

/// Whether the change must be sent without delay.
bool needs_immediate_update(const target_status& a, const target_status& b)
{
    return a.instance != b.instance || a.draining != b.draining ||
           a.reachable != b.reachable || a.warm != b.warm;
}

std::uint64_t load_step(const target_status& status, std::uint32_t capacity)
{
    return 8ULL * status.connections / std::max<std::uint32_t>(capacity, 1);
}

std::uint32_t limit_share(std::uint32_t total, double share)
{
    return static_cast<std::uint32_t>(
        std::floor(static_cast<double>(total) * std::clamp(share, 0.0, 1.0)));
}

/// Converts `limit` on all flows of a target with `reported_connections`, of
/// which this VM holds `held_flows`, to a limit on the flows of this VM.
std::uint32_t limit_for_this_vm(std::uint32_t limit,
                                std::uint32_t reported_connections,
                                std::uint32_t held_flows)
{
    const std::uint32_t counted = std::max(reported_connections, held_flows);
    return counted < limit ? held_flows + (limit - counted)
                           : std::min(limit, held_flows);
}

} // namespace

target_registry::target_registry(std::shared_ptr<const cold_start_rule> rule,
                                 std::uint64_t first_sequence)
    : rule_(std::move(rule)),
      sequence_(first_sequence),
      session_(first_sequence)
{
}

bool target_registry::polled_here(const entry& target_entry) const
{
    return target_entry.data_centre_in_service &&
           target_entry.poller == view_.self;
}

report_reader target_registry::reader_of(const entry& target_entry) const
{
    return !target_entry.poller        ? report_reader::none
           : polled_here(target_entry) ? report_reader::self
                                       : report_reader::other;
}

void target_registry::apply_set(published_set_ptr set, instant now)
{
    if (set_ && set->version() < set_->version())
    {
        return;
    }
    std::unordered_map<target_id, entry> next;
    next.reserve(set->objects().targets.size());
    for (const target& each : set->objects().targets)
    {
        entry created{.definition = each,
                      .data_centre_in_service =
                          set->in_service(each.data_centre)};
        const auto former = entries_.find(each.id);
        if (former != entries_.end() && created.data_centre_in_service &&
            same_location(former->second.definition, each))
        {
            created.observed_state = former->second.observed_state;
            created.last_sent = former->second.last_sent;
            created.steward = former->second.steward;
            created.poller = former->second.poller;
            created.polled_since = former->second.polled_since;
            created.ledger = former->second.ledger;
            created.grant = former->second.grant;
        }
        next.emplace(each.id, created);
    }
    entries_ = std::move(next);
    set_ = std::move(set);
    assign_pollers(now);
    count_reachable();
}

void target_registry::apply_report(target_id id,
                                   const outcome<load_report>& report,
                                   std::uint32_t held_flows, instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !polled_here(found->second))
    {
        return;
    }
    entry& each = found->second;
    const bool reachable = each.observed_state.reachable;
    each.observed_state =
        report ? after_report(each.observed_state, report.value(), held_flows,
                              each.definition.connections, now)
               : after_failed_read(each.observed_state, report.error().kind);
    divide_ramp(id, each, now);
    if (each.observed_state.reachable != reachable)
    {
        count_reachable();
    }
}

void target_registry::apply_update(vm_id from, const target_update& update,
                                   instant now)
{
    if (from == view_.self || !is_possibly_alive(view_, from))
    {
        return;
    }
    bool reachability_changed = false;
    for (const target_status& status : update.changes)
    {
        const auto found = entries_.find(status.id);
        if (found == entries_.end() || !found->second.data_centre_in_service)
        {
            continue;
        }
        const auto [latest, inserted] = latest_sequences_.try_emplace(
            sender_key(from, status.id), status.sequence);
        if (!inserted && latest->second >= status.sequence)
        {
            continue;
        }
        latest->second = status.sequence;
        entry& each = found->second;
        const bool reachable = each.observed_state.reachable;
        each.observed_state =
            after_peer_status(each.observed_state, status,
                              from == each.poller || from == each.steward,
                              polled_here(each), now);
        divide_ramp(status.id, each, now);
        reachability_changed |= each.observed_state.reachable != reachable;
    }
    if (reachability_changed)
    {
        count_reachable();
    }
    apply_requests(from, update.requests, now);
    apply_grants(update.grants, now);
}

void target_registry::apply_steward_view(steward_view view, instant now)
{
    const bool unchanged = same_possibly_alive(view_, view);
    view_ = std::move(view);
    if (unchanged)
    {
        return;
    }
    std::erase_if(latest_sequences_,
                  [this](const auto& item)
                  {
                      return !is_possibly_alive(
                          view_,
                          {static_cast<std::uint32_t>(item.first >> 32U)});
                  });
    assign_pollers(now);
}

void target_registry::assign_pollers(instant now)
{
    polled_targets_.clear();
    std::unordered_map<data_centre_id, std::vector<possibly_alive_vm>>
        vms_by_data_centre;
    for (const possibly_alive_vm& vm : view_.possibly_alive)
    {
        vms_by_data_centre[vm.data_centre].push_back(vm);
    }
    for (auto& [id, each] : entries_)
    {
        const bool was_polled_here = polled_here(each);
        const data_centre_id data_centre = each.definition.data_centre;
        const std::vector<possibly_alive_vm>& vms =
            vms_by_data_centre[data_centre];
        each.steward = steward_of(id, data_centre, vms);
        each.poller = poller_of(id, data_centre, vms);
        if (polled_here(each))
        {
            polled_targets_.push_back(id);
        }
        if (polled_here(each) != was_polled_here)
        {
            each.observed_state.read_locally = false;
            each.observed_state.failed_reads = 0;
            each.observed_state.last_report_at = now;
            each.observed_state.steward_ramp.reset();
            each.ledger = each.ledger.reset_for_new_ramp();
            each.polled_since = now;
            each.last_sent.reset();
        }
    }
    std::ranges::sort(polled_targets_);
}

void target_registry::count_reachable()
{
    health_.clear();
    for (const auto& [id, each] : entries_)
    {
        if (each.data_centre_in_service &&
            each.definition.wish == target_wish::serve)
        {
            service_health& health = health_[each.definition.service];
            ++health.serving;
            health.reachable += each.observed_state.reachable ? 1 : 0;
        }
    }
}

void target_registry::advance(entry& each, instant now)
{
    each.observed_state =
        after_elapsed_time(each.observed_state, reader_of(each), now);
    const bool acting =
        each.data_centre_in_service &&
        rule_->ramp_share(each.definition, each.steward, view_, now) > 0.0;
    each.observed_state = after_steward_check(each.observed_state, acting, now);
    divide_ramp(each.definition.id, each, now);
}

void target_registry::tick(instant now)
{
    for (const target_id id : polled_targets_)
    {
        advance(entries_.at(id), now);
    }
    if (last_full_update_ && now - *last_full_update_ < full_update_period)
    {
        return;
    }
    last_full_update_ = now;
    for (auto& [id, each] : entries_)
    {
        advance(each, now);
    }
}

admission_limit target_registry::admission_limit_of(const target& for_target,
                                                    double share,
                                                    std::uint32_t held_flows,
                                                    instant now) const
{
    const auto found = entries_.find(for_target.id);
    if (found == entries_.end() || !found->second.data_centre_in_service ||
        for_target.wish == target_wish::drain ||
        found->second.definition.wish == target_wish::drain ||
        found->second.observed_state.state == report_state::draining)
    {
        return {0, admission_limit_reason::draining};
    }
    const entry& each = found->second;
    return each.observed_state.warm ? warm_limit(each, share, held_flows)
                                    : cold_limit(each, share, held_flows, now);
}

admission_limit target_registry::warm_limit(const entry& target_entry,
                                            double share,
                                            std::uint32_t held_flows) const
{
    const target_state& observed_state = target_entry.observed_state;
    const std::uint32_t capacity = target_entry.definition.connections;
    if (std::max(observed_state.connections, held_flows) >= capacity)
    {
        return {0, admission_limit_reason::saturated};
    }
    const std::uint32_t limit = std::min(
        limit_share(capacity,
                    observed_state.confidence.capacity_factor() * share),
        limit_for_this_vm(capacity, observed_state.connections, held_flows));
    if (observed_state.reachable)
    {
        return {limit, admission_limit_reason::warm};
    }
    // If more than half of the service's targets are reachable, they take the
    // load. Otherwise the reports are more likely to be at fault than the
    // targets.
    const auto health = health_.find(target_entry.definition.service);
    const bool others_reachable =
        health != health_.end() &&
        2 * health->second.reachable > health->second.serving;
    return {others_reachable ? 0 : limit, admission_limit_reason::unreachable};
}

admission_limit target_registry::cold_limit(const entry& target_entry,
                                            double share,
                                            std::uint32_t held_flows,
                                            instant now) const
{
    // Each VM stays within its share of the capacity, so that VMs that still
    // use grants and VMs that consider the target warm together do not exceed
    // the capacity.
    const std::uint32_t max_limit =
        limit_share(target_entry.definition.connections, share);
    const std::uint32_t granted =
        target_entry.grant ? target_entry.grant->usable_limit(
                                 target_entry.observed_state.instance, now)
                           : 0;
    if (own_ramp_share(target_entry, now) <= 0.0)
    {
        return {std::min(max_limit, granted),
                granted > 0 ? admission_limit_reason::ramping
                            : admission_limit_reason::cold_not_steward};
    }
    const std::uint32_t own_ramp_limit = std::min(
        target_entry.ledger.steward_limit(),
        limit_for_this_vm(target_entry.ledger.ramp_limit,
                          target_entry.observed_state.connections, held_flows));
    return {std::min(max_limit, std::max(own_ramp_limit, granted)),
            admission_limit_reason::ramping};
}

std::vector<target_id> target_registry::targets_to_poll(instant now)
{
    std::vector<target_id> due;
    if (last_poll_check_)
    {
        std::ranges::copy_if(
            polled_targets_, std::back_inserter(due),
            [&](target_id id)
            { return poll_slot(id, now) != poll_slot(id, *last_poll_check_); });
    }
    last_poll_check_ = now;
    return due;
}

target_status
target_registry::next_sequenced_status(target_id id,
                                       const target_state& observed_state)
{
    target_status status = status_of(id, observed_state);
    status.sequence = ++sequence_;
    return status;
}

target_update target_registry::take_updates(instant now)
{
    target_update update;
    for (const target_id id : polled_targets_)
    {
        entry& each = entries_.at(id);
        if (update.changes.size() == max_changes_per_update)
        {
            break;
        }
        if (!each.observed_state.read_locally ||
            (each.observed_state.start_unobserved &&
             now - each.polled_since < cold_announcement_delay))
        {
            continue;
        }
        const target_status current_status = status_of(id, each.observed_state);
        std::uint8_t transmissions = 0;
        if (each.last_sent &&
            !needs_immediate_update(each.last_sent->status, current_status))
        {
            const sent_status& last_sent = *each.last_sent;
            const duration since_sent = now - last_sent.sent_at;
            const bool repeat =
                last_sent.transmissions < transmissions_per_change &&
                since_sent >= last_sent.transmissions * 2 * 1s;
            const bool load_step_changed =
                load_step(last_sent.status, each.definition.connections) !=
                    load_step(current_status, each.definition.connections) &&
                since_sent >= load_update_period;
            if (!repeat && !load_step_changed &&
                since_sent < update_refresh_period)
            {
                continue;
            }
            transmissions = last_sent.transmissions;
        }
        each.last_sent =
            sent_status{next_sequenced_status(id, each.observed_state), now,
                        static_cast<std::uint8_t>(std::min<int>(
                            transmissions + 1, transmissions_per_change))};
        update.changes.push_back(each.last_sent->status);
    }
    return update;
}

target_update target_registry::update_for(vm_id newcomer)
{
    target_update update;
    for (const auto& [id, each] : entries_)
    {
        const bool read_here =
            each.observed_state.read_locally || each.last_sent.has_value();
        if (each.observed_state.instance &&
            !each.observed_state.start_unobserved &&
            (read_here || each.poller == newcomer))
        {
            update.changes.push_back(
                next_sequenced_status(id, each.observed_state));
        }
    }
    return update;
}

const target_state* target_registry::target_state_of(target_id id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.observed_state;
}

} // namespace catkinkeel
