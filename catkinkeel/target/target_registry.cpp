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
/// Targets of others change by time only while reports are missing.
constexpr duration walk_period = 1s;

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

bool same_machine(const target& a, const target& b)
{
    return a.address == b.address && a.data_centre == b.data_centre;
}

bool same_readers(const steward_view& a, const steward_view& b)
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

bool knows_vm(const steward_view& view, vm_id id)
{
    return std::ranges::binary_search(view.possibly_alive, id, {},
                                      &possibly_alive_vm::id);
}

target_status status_of(target_id id, const target_knowledge& known)
{
    return {.id = id,
            .instance = known.instance.value_or(0),
            .draining = known.state == report_state::draining,
            .reachable = known.reachable,
            .connections = known.connections,
            .busy_slots = known.busy_slots,
            .warm = known.warm};
}

/// Whether a change must be told at once.
bool urgent(const target_status& a, const target_status& b)
{
    return a.instance != b.instance || a.draining != b.draining ||
           a.reachable != b.reachable || a.warm != b.warm;
}

std::uint64_t load_step(const target_status& status, std::uint32_t capacity)
{
    return 8ULL * status.connections / std::max<std::uint32_t>(capacity, 1);
}

std::uint32_t fraction(std::uint32_t whole, double part)
{
    return static_cast<std::uint32_t>(
        std::floor(static_cast<double>(whole) * std::clamp(part, 0.0, 1.0)));
}

/// `limit` on all flows of a target that carries `carried`, of which this VM
/// holds `held`, as a limit on the flows of this VM.
std::uint32_t own_limit(std::uint32_t limit, std::uint32_t carried,
                        std::uint32_t held)
{
    const std::uint32_t counted = std::max(carried, held);
    return counted < limit ? held + (limit - counted) : std::min(limit, held);
}

} // namespace

target_registry::target_registry(std::shared_ptr<const cold_start_rule> rule,
                                 std::uint64_t first_sequence)
    : rule_(std::move(rule)),
      sequence_(first_sequence),
      session_(first_sequence)
{
}

bool target_registry::polled_here(const entry& from) const
{
    return from.open && from.poller == view_.self;
}

report_reader target_registry::reader_of(const entry& from) const
{
    return !from.poller        ? report_reader::none
           : polled_here(from) ? report_reader::self
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
        entry made{.published = each,
                   .open = set->in_service(each.data_centre)};
        const auto former = entries_.find(each.id);
        if (former != entries_.end() && made.open &&
            same_machine(former->second.published, each))
        {
            made.known = former->second.known;
            made.told = former->second.told;
            made.steward = former->second.steward;
            made.poller = former->second.poller;
            made.polled_since = former->second.polled_since;
            made.book = former->second.book;
            made.grant = former->second.grant;
        }
        next.emplace(each.id, made);
    }
    entries_ = std::move(next);
    set_ = std::move(set);
    choose_readers(now);
    count_reachable();
}

void target_registry::apply_report(target_id id,
                                   const outcome<load_report>& report,
                                   std::uint32_t held, instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || !polled_here(found->second))
    {
        return;
    }
    entry& each = found->second;
    const bool reachable = each.known.reachable;
    each.known = report ? with_report(each.known, report.value(), held,
                                      each.published.connections, now)
                        : without_report(each.known, report.error().kind);
    divide_ramp(id, each, now);
    if (each.known.reachable != reachable)
    {
        count_reachable();
    }
}

void target_registry::apply_news(vm_id from, const target_news& news,
                                 instant now)
{
    if (from == view_.self || !knows_vm(view_, from))
    {
        return;
    }
    bool counts_changed = false;
    for (const target_status& status : news.changes)
    {
        const auto found = entries_.find(status.id);
        if (found == entries_.end() || !found->second.open)
        {
            continue;
        }
        const auto [latest, first] =
            heard_.try_emplace(sender_key(from, status.id), status.sequence);
        if (!first && latest->second >= status.sequence)
        {
            continue;
        }
        latest->second = status.sequence;
        entry& each = found->second;
        const bool reachable = each.known.reachable;
        each.known = with_status(each.known, status,
                                 from == each.poller || from == each.steward,
                                 polled_here(each), now);
        divide_ramp(status.id, each, now);
        counts_changed |= each.known.reachable != reachable;
    }
    if (counts_changed)
    {
        count_reachable();
    }
    apply_requests(from, news.requests, now);
    apply_grants(news.grants, now);
}

void target_registry::apply_stewardship(steward_view view, instant now)
{
    const bool same = same_readers(view_, view);
    view_ = std::move(view);
    if (same)
    {
        return;
    }
    std::erase_if(heard_,
                  [this](const auto& item) {
                      return !knows_vm(view_, {static_cast<std::uint32_t>(
                                                  item.first >> 32U)});
                  });
    choose_readers(now);
}

void target_registry::choose_readers(instant now)
{
    polled_.clear();
    std::unordered_map<data_centre_id, std::vector<possibly_alive_vm>> by_zone;
    for (const possibly_alive_vm& vm : view_.possibly_alive)
    {
        by_zone[vm.data_centre].push_back(vm);
    }
    for (auto& [id, each] : entries_)
    {
        const bool before = polled_here(each);
        const data_centre_id zone = each.published.data_centre;
        const std::vector<possibly_alive_vm>& vms = by_zone[zone];
        each.steward = steward_of(id, zone, vms);
        each.poller = poller_of(id, zone, vms);
        if (polled_here(each))
        {
            polled_.push_back(id);
        }
        if (polled_here(each) != before)
        {
            each.known.own = false;
            each.known.failures = 0;
            each.known.last_sign = now;
            each.known.tenure.reset();
            each.book = each.book.without_grants();
            each.polled_since = now;
            each.told.reset();
        }
    }
    std::ranges::sort(polled_);
}

void target_registry::count_reachable()
{
    health_.clear();
    for (const auto& [id, each] : entries_)
    {
        if (each.open && each.published.wish == target_wish::serve)
        {
            service_health& of_service = health_[each.published.service];
            ++of_service.serving;
            of_service.reachable += each.known.reachable ? 1 : 0;
        }
    }
}

void target_registry::advance(entry& each, instant now)
{
    each.known = with_time(each.known, reader_of(each), now);
    const bool acting = each.open && rule_->part(each.published, each.steward,
                                                 view_, now) > 0.0;
    each.known = with_tenure(each.known, acting, now);
    divide_ramp(each.published.id, each, now);
}

void target_registry::tick(instant now)
{
    for (const target_id id : polled_)
    {
        advance(entries_.at(id), now);
    }
    if (walked_ && now - *walked_ < walk_period)
    {
        return;
    }
    walked_ = now;
    for (auto& [id, each] : entries_)
    {
        advance(each, now);
    }
}

bearing target_registry::bearing_of(const target& which, double share,
                                    std::uint32_t held, instant now) const
{
    const auto found = entries_.find(which.id);
    if (found == entries_.end() || !found->second.open ||
        which.wish == target_wish::drain ||
        found->second.published.wish == target_wish::drain ||
        found->second.known.state == report_state::draining)
    {
        return {0, bearing_reason::draining};
    }
    const entry& each = found->second;
    return each.known.warm ? warm_bearing(each, share, held)
                           : cold_bearing(each, share, held, now);
}

bearing target_registry::warm_bearing(const entry& from, double share,
                                      std::uint32_t held) const
{
    const target_knowledge& known = from.known;
    const std::uint32_t capacity = from.published.connections;
    if (std::max(known.connections, held) >= capacity)
    {
        return {0, bearing_reason::saturated};
    }
    const std::uint32_t limit =
        std::min(fraction(capacity, known.confidence.factor() * share),
                 own_limit(capacity, known.connections, held));
    if (known.reachable)
    {
        return {limit, bearing_reason::warm};
    }
    // Others take the load while most of the service is reachable. Otherwise
    // the fault is more likely one of the reports.
    const auto health = health_.find(from.published.service);
    const bool others = health != health_.end() &&
                        2 * health->second.reachable > health->second.serving;
    return {others ? 0 : limit, bearing_reason::unreachable};
}

bearing target_registry::cold_bearing(const entry& from, double share,
                                      std::uint32_t held, instant now) const
{
    // Each VM stays within its share of the capacity, so that VMs which still
    // use grants and VMs which know that the target is warm stay within it
    // together.
    const std::uint32_t most = fraction(from.published.connections, share);
    const std::uint32_t granted =
        from.grant ? from.grant->limit_at(from.known.instance, now) : 0;
    if (acting_part(from, now) <= 0.0)
    {
        return {std::min(most, granted),
                granted > 0 ? bearing_reason::ramping
                            : bearing_reason::cold_not_steward};
    }
    const std::uint32_t own =
        std::min(from.book.own(),
                 own_limit(from.book.limit, from.known.connections, held));
    return {std::min(most, std::max(own, granted)), bearing_reason::ramping};
}

std::vector<target_id> target_registry::targets_to_poll(instant now)
{
    std::vector<target_id> due;
    if (polled_until_)
    {
        std::ranges::copy_if(
            polled_, std::back_inserter(due),
            [&](target_id id)
            { return poll_slot(id, now) != poll_slot(id, *polled_until_); });
    }
    polled_until_ = now;
    return due;
}

target_status target_registry::next_status(target_id id,
                                           const target_knowledge& known)
{
    target_status status = status_of(id, known);
    status.sequence = ++sequence_;
    return status;
}

target_news target_registry::take_news(instant now)
{
    target_news news;
    for (const target_id id : polled_)
    {
        entry& each = entries_.at(id);
        if (news.changes.size() == most_changes_in_news)
        {
            break;
        }
        if (!each.known.own || (each.known.start_unseen &&
                                now - each.polled_since < settling_period))
        {
            continue;
        }
        const target_status present = status_of(id, each.known);
        std::uint8_t tellings = 0;
        if (each.told && !urgent(each.told->status, present))
        {
            const told_status& told = *each.told;
            const duration since = now - told.at;
            const bool repeat = told.tellings < tellings_of_a_change &&
                                since >= told.tellings * 2 * 1s;
            const bool load =
                load_step(told.status, each.published.connections) !=
                    load_step(present, each.published.connections) &&
                since >= news_of_load_period;
            if (!repeat && !load && since < news_refresh)
            {
                continue;
            }
            tellings = told.tellings;
        }
        each.told = told_status{next_status(id, each.known), now,
                                static_cast<std::uint8_t>(std::min<int>(
                                    tellings + 1, tellings_of_a_change))};
        news.changes.push_back(each.told->status);
    }
    return news;
}

target_news target_registry::news_for(vm_id newcomer)
{
    target_news news;
    for (const auto& [id, each] : entries_)
    {
        const bool read_here = each.known.own || each.told.has_value();
        if (each.known.instance && !each.known.start_unseen &&
            (read_here || each.poller == newcomer))
        {
            news.changes.push_back(next_status(id, each.known));
        }
    }
    return news;
}

const target_knowledge* target_registry::knowledge_of(target_id id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.known;
}

} // namespace catkinkeel
