#include "catkinkeel/steering/catalog.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

/// Number of `name` in `names`, which grows by it if it is missing.
std::uint32_t intern(std::map<std::string, std::uint32_t>& numbers,
                     const std::string& name)
{
    const auto next = static_cast<std::uint32_t>(numbers.size());
    return numbers.emplace(name, next).first->second;
}

/// A service loses at least this many targets at once, and more than half of
/// those announced, before the loss counts as a lapse of the store.
constexpr std::size_t least_mass_lapse = 3;

std::string withdrawn_name(const metadata_change& change)
{
    const auto* withdrawn = std::get_if<target_withdrawn>(&change);
    return withdrawn == nullptr ? std::string() : withdrawn->name;
}

} // namespace

void catalog::note_contact_lost(instant now)
{
    contact_lost_ = true;
    doubt_until_ = now + settings_.lapse_grace;
}

std::vector<catalog_event> catalog::apply(const metadata_update& update,
                                          instant now)
{
    events out;
    if (update.revision < revision_)
    {
        return out;
    }
    if (contact_lost_ || is_mass_lapse(update))
    {
        doubt_until_ = now + settings_.lapse_grace;
    }
    contact_lost_ = false;
    doubted_now_ = 0;
    revision_ = update.revision;
    confirmed_ = now;
    for (const metadata_change& change : update.changes)
    {
        std::visit([&](const auto& each) { take(each, now, out); }, change);
    }
    if (update.complete)
    {
        withdraw_unnamed(update, now, out);
    }
    if (doubted_now_ > 0)
    {
        out.emplace_back(lapse_doubted{doubted_now_});
    }
    for (catalog_event& each : expire(now))
    {
        out.push_back(std::move(each));
    }
    return out;
}

bool catalog::is_mass_lapse(const metadata_update& update) const
{
    std::set<std::string> gone;
    if (update.complete)
    {
        for (const auto& [name, target] : targets_)
        {
            gone.insert(name);
        }
    }
    for (const metadata_change& change : update.changes)
    {
        gone.insert(withdrawn_name(change));
        if (const auto* announced = std::get_if<target_announced>(&change))
        {
            gone.erase(announced->target.name);
        }
    }
    struct tally
    {
        std::size_t announced = 0;
        std::size_t gone = 0;
    };
    std::map<std::string, tally> services;
    for (const auto& [name, target] : targets_)
    {
        if (target.state != presence::announced ||
            target.announced.state == announced_state::draining)
        {
            continue;
        }
        tally& service = services[target.announced.service];
        ++service.announced;
        service.gone += gone.contains(name) ? 1 : 0;
    }
    return std::ranges::any_of(services,
                               [](const auto& each)
                               {
                                   const tally& count = each.second;
                                   return count.gone >= least_mass_lapse &&
                                          2 * count.gone > count.announced;
                               });
}

void catalog::take(const target_announced& change, instant now, events& out)
{
    const target_announcement& next = change.target;
    const auto found = targets_.find(next.name);
    const bool new_life =
        found == targets_.end() ||
        found->second.announced.started_ms != next.started_ms ||
        (next.heartbeat > 0 &&
         next.heartbeat < found->second.announced.heartbeat);
    if (!new_life)
    {
        known_target& target = found->second;
        const target_standing before = standing_of(target);
        intern(service_numbers_, next.service);
        intern(data_centre_numbers_, next.data_centre);
        target.announced = next;
        target.state = presence::announced;
        target.cold_until = now + next.warm_up_left;
        report_standing(target, before, out);
        return;
    }
    if (found == targets_.end() && targets_.size() >= max_known_targets)
    {
        out.emplace_back(entry_rejected{next.name, "too many targets"});
        return;
    }
    intern(service_numbers_, next.service);
    intern(data_centre_numbers_, next.data_centre);
    known_target& target = targets_[next.name];
    target = {.announced = next,
              .id = {++last_target_},
              .state = presence::announced,
              .until = {},
              .cold_until = now + next.warm_up_left};
    out.emplace_back(
        target_changed{next.name, next.service, standing_of(target)});
}

void catalog::take(const target_withdrawn& change, instant now, events& out)
{
    const auto found = targets_.find(change.name);
    if (found != targets_.end())
    {
        vanish(found->second, now, out);
    }
}

void catalog::take(const terms_published& change, instant now, events& out)
{
    const published_terms& next = change.terms;
    if (terms_ && next.version <= terms_->version)
    {
        if (next.version < terms_->version)
        {
            out.emplace_back(terms_ignored{next.version, terms_->version});
        }
        return;
    }
    const instant until = now + settings_.flow_lifetime;
    if (!terms_)
    {
        former_unknown_until_ = until;
    }
    for (auto& [address, services] : permissions_)
    {
        for (auto& [name, granted] : services)
        {
            granted.until = granted.until ? granted.until : until;
        }
    }
    for (const reference_terms& reference : next.references)
    {
        for (const weighted_service& service : reference.services)
        {
            intern(service_numbers_, service.name);
            permissions_[reference.address][service.name].until.reset();
        }
    }
    terms_ = next;
    out.emplace_back(terms_in_effect{next.version, next.references.size()});
}

void catalog::take(const data_centre_switched& change, instant /*now*/,
                   events& out)
{
    const bool changed = change.in_service ? closed_.erase(change.name) > 0
                                           : closed_.insert(change.name).second;
    if (changed)
    {
        out.emplace_back(change);
    }
}

void catalog::take(const entry_rejected& change, instant /*now*/, events& out)
{
    out.emplace_back(change);
}

void catalog::withdraw_unnamed(const metadata_update& update, instant now,
                               events& out)
{
    std::set<std::string> named;
    std::set<std::string> closed;
    for (const metadata_change& change : update.changes)
    {
        if (const auto* target = std::get_if<target_announced>(&change))
        {
            named.insert(target->target.name);
        }
        else if (const auto* switched =
                     std::get_if<data_centre_switched>(&change))
        {
            closed.insert(switched->name);
        }
    }
    for (auto& [name, target] : targets_)
    {
        if (!named.contains(name))
        {
            vanish(target, now, out);
        }
    }
    const std::set<std::string> before = closed_;
    for (const std::string& name : before)
    {
        if (!closed.contains(name))
        {
            take(data_centre_switched{name, true}, now, out);
        }
    }
}

void catalog::vanish(known_target& target, instant now, events& out)
{
    if (target.state != presence::announced)
    {
        return;
    }
    const target_standing before = standing_of(target);
    const bool doubted = doubt_until_ && now < *doubt_until_ &&
                         target.announced.state != announced_state::draining;
    target.state = doubted ? presence::doubted : presence::withdrawn;
    target.until = doubted ? *doubt_until_ : now + settings_.flow_lifetime;
    doubted_now_ += doubted ? 1 : 0;
    report_standing(target, before, out);
}

std::vector<catalog_event> catalog::expire(instant now)
{
    events out;
    for (auto at = targets_.begin(); at != targets_.end();)
    {
        known_target& target = at->second;
        if (target.state == presence::announced || now < target.until)
        {
            ++at;
        }
        else if (target.state == presence::doubted)
        {
            const target_standing before = standing_of(target);
            target.state = presence::withdrawn;
            target.until = now + settings_.flow_lifetime;
            report_standing(target, before, out);
            ++at;
        }
        else
        {
            at = targets_.erase(at);
        }
    }
    if (former_unknown_until_ && *former_unknown_until_ <= now)
    {
        former_unknown_until_.reset();
    }
    for (auto& [address, services] : permissions_)
    {
        std::erase_if(services,
                      [&](const auto& each) {
                          return each.second.until && *each.second.until <= now;
                      });
    }
    std::erase_if(permissions_,
                  [](const auto& each) { return each.second.empty(); });
    return out;
}

std::optional<instant> catalog::next_expiry() const
{
    std::optional<instant> next;
    const auto consider = [&](instant moment)
    {
        next = next ? std::min(*next, moment) : moment;
    };
    for (const auto& [name, target] : targets_)
    {
        if (target.state != presence::announced)
        {
            consider(target.until);
        }
    }
    if (former_unknown_until_)
    {
        consider(*former_unknown_until_);
    }
    for (const auto& [address, services] : permissions_)
    {
        for (const auto& [name, granted] : services)
        {
            if (granted.until)
            {
                consider(*granted.until);
            }
        }
    }
    return next;
}

target_standing catalog::standing_of(const known_target& target) const
{
    if (target.state == presence::withdrawn)
    {
        return target_standing::withdrawn;
    }
    if (target.announced.state == announced_state::draining)
    {
        return target_standing::draining;
    }
    return closed_.contains(target.announced.data_centre)
               ? target_standing::data_centre_out
               : target_standing::open;
}

void catalog::report_standing(const known_target& target,
                              target_standing before, events& out) const
{
    const target_standing after = standing_of(target);
    if (after != before)
    {
        out.emplace_back(target_changed{target.announced.name,
                                        target.announced.service, after});
    }
}

steering_view catalog::make_view() const
{
    view_parts parts{.version = terms_ ? terms_->version : set_version{},
                     .revision = revision_,
                     .confirmed = confirmed_,
                     .former_services_unknown =
                         former_unknown_until_.has_value()};
    parts.services.resize(service_numbers_.size());
    for (const auto& [name, number] : service_numbers_)
    {
        parts.services[number].name = name;
    }
    parts.data_centres.resize(data_centre_numbers_.size());
    for (const auto& [name, number] : data_centre_numbers_)
    {
        parts.data_centres[number] = name;
    }
    parts.closed.assign(closed_.begin(), closed_.end());
    add_targets(parts);
    add_references(parts);
    return steering_view(std::move(parts));
}

void catalog::add_targets(view_parts& parts) const
{
    parts.targets.reserve(targets_.size());
    for (const auto& [name, known] : targets_)
    {
        const target_announcement& said = known.announced;
        parts.targets.push_back(
            {.id = known.id,
             .name = name,
             .identity = said.identity,
             .token = token_of(name),
             .started_ms = said.started_ms,
             .service = {service_numbers_.at(said.service)},
             .data_centre = {static_cast<std::uint16_t>(
                 data_centre_numbers_.at(said.data_centre))},
             .address = said.address,
             .slots = said.slots,
             .standing = standing_of(known),
             .cold_until = known.cold_until});
    }
}

void catalog::add_references(view_parts& parts) const
{
    for (const auto& [address, permitted] : permissions_)
    {
        view_reference reference{.address = address};
        for (const auto& [name, granted] : permitted)
        {
            reference.permitted.push_back({service_numbers_.at(name)});
        }
        std::ranges::sort(reference.permitted);
        parts.references.push_back(std::move(reference));
    }
    if (!terms_)
    {
        return;
    }
    for (const reference_terms& terms : terms_->references)
    {
        const auto at = std::ranges::lower_bound(
            parts.references, terms.address, {}, &view_reference::address);
        if (at == parts.references.end() || at->address != terms.address)
        {
            continue;
        }
        at->name = terms.name;
        at->choices.clear();
        for (const weighted_service& service : terms.services)
        {
            at->choices.push_back(
                {{service_numbers_.at(service.name)}, service.weight});
        }
    }
    for (const service_terms& terms : terms_->services)
    {
        const auto found = service_numbers_.find(terms.name);
        if (found != service_numbers_.end())
        {
            parts.services[found->second].cold_flows_per_second =
                terms.cold_flows_per_second;
        }
    }
}

} // namespace catkinkeel::steering
