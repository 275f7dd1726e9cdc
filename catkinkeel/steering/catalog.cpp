#include "catkinkeel/steering/catalog.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

/// Returns the id of `name` in `ids`; assigns the next one if it has none.
std::uint32_t intern(std::map<std::string, std::uint32_t>& ids,
                     const std::string& name)
{
    const auto next = static_cast<std::uint32_t>(ids.size());
    return ids.emplace(name, next).first->second;
}

/// The loss of at least this many targets of one service at once, and of more
/// than half of those announced, is attributed to the store.
constexpr std::size_t min_mass_withdrawal_targets = 3;

/// What identifies a rejected entry: its target's name, or else its key.
const std::string& rejection_name(const entry_rejected& rejection)
{
    return rejection.target.empty() ? rejection.key : rejection.target;
}

} // namespace

void catalog::note_store_unreachable(instant now)
{
    store_unreachable_ = true;
    withdrawal_grace_until_ = now + settings_.withdrawal_grace_period;
}

std::vector<catalog_event> catalog::apply(const metadata_update& update,
                                          instant now)
{
    events out;
    if (update.revision < revision_)
    {
        return out;
    }
    if (store_unreachable_ || is_mass_withdrawal_update(update))
    {
        withdrawal_grace_until_ = now + settings_.withdrawal_grace_period;
    }
    store_unreachable_ = false;
    missing_count_ = 0;
    reported_rejections_ = 0;
    omitted_rejections_ = 0;
    revision_ = update.revision;
    confirmed_at_ = now;
    for (const metadata_change& change : update.changes)
    {
        std::visit([&](const auto& item) { apply_change(item, now, out); },
                   change);
    }
    if (update.complete)
    {
        process_unlisted(update, now, out);
    }
    if (missing_count_ > 0)
    {
        out.emplace_back(withdrawals_delayed{missing_count_});
    }
    if (omitted_rejections_ > 0)
    {
        out.emplace_back(rejections_omitted{omitted_rejections_});
    }
    for (catalog_event& item : expire(now))
    {
        out.push_back(std::move(item));
    }
    return out;
}

bool catalog::is_mass_withdrawal_update(const metadata_update& update) const
{
    std::set<std::string> missing;
    if (update.complete)
    {
        for (const auto& [name, target] : targets_)
        {
            missing.insert(name);
        }
    }
    for (const metadata_change& change : update.changes)
    {
        missing.insert(unannounced_target(change));
        if (const auto* announced = std::get_if<target_announced>(&change))
        {
            missing.erase(announced->target.name);
        }
    }
    struct target_counts
    {
        std::size_t announced = 0;
        std::size_t missing = 0;
    };
    std::map<std::string, target_counts> services;
    for (const auto& [name, target] : targets_)
    {
        if (target.state != presence::announced ||
            target.announced.state == announced_state::draining)
        {
            continue;
        }
        target_counts& service = services[target.announced.service];
        ++service.announced;
        service.missing += missing.contains(name) ? 1 : 0;
    }
    return std::ranges::any_of(services,
                               [](const auto& item)
                               {
                                   const target_counts& count = item.second;
                                   return count.missing >=
                                              min_mass_withdrawal_targets &&
                                          2 * count.missing > count.announced;
                               });
}

void catalog::apply_change(const target_announced& change, instant now,
                           events& out)
{
    const target_announcement& next = change.target;
    const auto found = targets_.find(next.name);
    if (!data_centre_ids_.contains(next.data_centre) &&
        data_centre_ids_.size() >= max_known_data_centres)
    {
        report_rejection({next.name, "too many data centres", next.name}, out);
        end_announcement(next.name, now, out);
        return;
    }
    const bool is_new_or_restarted =
        found == targets_.end() ||
        found->second.announced.started_ms != next.started_ms ||
        (next.heartbeat > 0 &&
         next.heartbeat < found->second.announced.heartbeat);
    if (!is_new_or_restarted)
    {
        rejections_.erase(next.name);
        target_record& target = found->second;
        const target_standing before = standing_of(target);
        intern(service_ids_, next.service);
        intern(data_centre_ids_, next.data_centre);
        target.announced = next;
        target.state = presence::announced;
        target.cold_until = now + next.remaining_warm_up;
        report_standing(target, before, out);
        return;
    }
    if (found == targets_.end() && targets_.size() >= max_known_targets)
    {
        report_rejection({next.name, "too many targets", next.name}, out);
        return;
    }
    rejections_.erase(next.name);
    intern(service_ids_, next.service);
    intern(data_centre_ids_, next.data_centre);
    target_record& target = targets_[next.name];
    target = {.announced = next,
              .id = {++last_target_id_},
              .state = presence::announced,
              .until = {},
              .cold_until = now + next.remaining_warm_up};
    out.emplace_back(
        target_standing_changed{next.name, next.service, standing_of(target)});
}

void catalog::apply_change(const target_withdrawn& change, instant now,
                           events& out)
{
    rejections_.erase(change.name);
    end_announcement(change.name, now, out);
}

void catalog::end_announcement(const std::string& name, instant now,
                               events& out)
{
    const auto found = targets_.find(name);
    if (found != targets_.end())
    {
        mark_missing(found->second, now, out);
    }
}

void catalog::apply_change(const configuration_published& change, instant now,
                           events& out)
{
    const published_configuration& next = change.configuration;
    std::erase_if(rejections_,
                  [](const auto& item) { return item.second.target.empty(); });
    if (configuration_ && next.version <= configuration_->version)
    {
        if (next.version < configuration_->version)
        {
            out.emplace_back(stale_configuration_ignored{
                next.version, configuration_->version});
        }
        return;
    }
    const instant until = now + settings_.flow_lifetime;
    if (!configuration_)
    {
        former_services_unknown_until_ = until;
    }
    for (auto& [address, services] : permissions_)
    {
        for (auto& [name, permission] : services)
        {
            permission.until = permission.until ? permission.until : until;
        }
    }
    for (const reference_configuration& reference : next.references)
    {
        for (const weighted_service& service : reference.services)
        {
            intern(service_ids_, service.name);
            permissions_[reference.address][service.name].until.reset();
        }
    }
    configuration_ = next;
    out.emplace_back(
        configuration_in_effect{next.version, next.references.size()});
}

void catalog::apply_change(const data_centre_service_changed& change,
                           instant /*now*/, events& out)
{
    const bool changed =
        change.in_service
            ? out_of_service_data_centres_.erase(change.name) > 0
            : out_of_service_data_centres_.insert(change.name).second;
    if (changed)
    {
        out.emplace_back(change);
    }
}

void catalog::apply_change(const entry_rejected& change, instant now,
                           events& out)
{
    report_rejection(change, out);
    end_announcement(change.target, now, out);
}

void catalog::report_rejection(const entry_rejected& rejection, events& out)
{
    const std::string& name = rejection_name(rejection);
    const auto found = rejections_.find(name);
    if (found != rejections_.end() && found->second == rejection)
    {
        return;
    }
    const bool remembered = found != rejections_.end() ||
                            rejections_.size() < max_remembered_rejections;
    if (remembered)
    {
        rejections_.insert_or_assign(name, rejection);
    }
    if (remembered && reported_rejections_ < max_reported_rejections)
    {
        ++reported_rejections_;
        out.emplace_back(rejection);
    }
    else
    {
        ++omitted_rejections_;
    }
}

void catalog::process_unlisted(const metadata_update& update, instant now,
                               events& out)
{
    std::set<std::string> named;
    std::set<std::string> rejected;
    std::set<std::string> out_of_service_data_centres;
    for (const metadata_change& change : update.changes)
    {
        if (const auto* target = std::get_if<target_announced>(&change))
        {
            named.insert(target->target.name);
        }
        else if (const auto* rejection = std::get_if<entry_rejected>(&change))
        {
            rejected.insert(rejection_name(*rejection));
        }
        else if (const auto* switched =
                     std::get_if<data_centre_service_changed>(&change))
        {
            out_of_service_data_centres.insert(switched->name);
        }
    }
    for (auto& [name, target] : targets_)
    {
        if (!named.contains(name))
        {
            mark_missing(target, now, out);
        }
    }
    std::erase_if(rejections_, [&](const auto& item)
                  { return !rejected.contains(item.first); });
    const std::set<std::string> before = out_of_service_data_centres_;
    for (const std::string& name : before)
    {
        if (!out_of_service_data_centres.contains(name))
        {
            apply_change(data_centre_service_changed{name, true}, now, out);
        }
    }
}

void catalog::mark_missing(target_record& target, instant now, events& out)
{
    if (target.state != presence::announced)
    {
        return;
    }
    const target_standing before = standing_of(target);
    const bool withdrawal_delayed =
        withdrawal_grace_until_ && now < *withdrawal_grace_until_ &&
        target.announced.state != announced_state::draining;
    target.state = withdrawal_delayed ? presence::missing : presence::withdrawn;
    target.until = withdrawal_delayed ? *withdrawal_grace_until_
                                      : now + settings_.flow_lifetime;
    missing_count_ += withdrawal_delayed ? 1 : 0;
    report_standing(target, before, out);
}

std::vector<catalog_event> catalog::expire(instant now)
{
    events out;
    for (auto position = targets_.begin(); position != targets_.end();)
    {
        target_record& target = position->second;
        if (target.state == presence::announced || now < target.until)
        {
            ++position;
        }
        else if (target.state == presence::missing)
        {
            const target_standing before = standing_of(target);
            target.state = presence::withdrawn;
            target.until = now + settings_.flow_lifetime;
            report_standing(target, before, out);
            ++position;
        }
        else
        {
            position = targets_.erase(position);
        }
    }
    if (former_services_unknown_until_ &&
        *former_services_unknown_until_ <= now)
    {
        former_services_unknown_until_.reset();
    }
    for (auto& [address, services] : permissions_)
    {
        std::erase_if(services,
                      [&](const auto& item) {
                          return item.second.until && *item.second.until <= now;
                      });
    }
    std::erase_if(permissions_,
                  [](const auto& item) { return item.second.empty(); });
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
    if (former_services_unknown_until_)
    {
        consider(*former_services_unknown_until_);
    }
    for (const auto& [address, services] : permissions_)
    {
        for (const auto& [name, permission] : services)
        {
            if (permission.until)
            {
                consider(*permission.until);
            }
        }
    }
    return next;
}

target_standing catalog::standing_of(const target_record& target) const
{
    if (target.state == presence::withdrawn)
    {
        return target_standing::withdrawn;
    }
    if (target.announced.state == announced_state::draining)
    {
        return target_standing::draining;
    }
    return out_of_service_data_centres_.contains(target.announced.data_centre)
               ? target_standing::data_centre_out
               : target_standing::open;
}

void catalog::report_standing(const target_record& target,
                              target_standing before, events& out) const
{
    const target_standing after = standing_of(target);
    if (after != before)
    {
        out.emplace_back(target_standing_changed{
            target.announced.name, target.announced.service, after});
    }
}

steering_view catalog::make_view() const
{
    view_data parts{
        .version = configuration_ ? configuration_->version : set_version{},
        .revision = revision_,
        .confirmed_at = confirmed_at_,
        .former_services_unknown = former_services_unknown_until_.has_value()};
    parts.services.resize(service_ids_.size());
    for (const auto& [name, index] : service_ids_)
    {
        parts.services[index].name = name;
    }
    parts.data_centres.resize(data_centre_ids_.size());
    for (const auto& [name, index] : data_centre_ids_)
    {
        parts.data_centres[index] = name;
    }
    parts.out_of_service_data_centres.assign(
        out_of_service_data_centres_.begin(),
        out_of_service_data_centres_.end());
    add_targets(parts);
    add_references(parts);
    return steering_view(std::move(parts));
}

void catalog::add_targets(view_data& parts) const
{
    parts.targets.reserve(targets_.size());
    for (const auto& [name, record] : targets_)
    {
        const target_announcement& announcement = record.announced;
        parts.targets.push_back(
            {.id = record.id,
             .name = name,
             .identity = announcement.identity,
             .token = token_of(name),
             .started_ms = announcement.started_ms,
             .service = {service_ids_.at(announcement.service)},
             .data_centre = {static_cast<std::uint16_t>(
                 data_centre_ids_.at(announcement.data_centre))},
             .address = announcement.address,
             .slots = announcement.slots,
             .standing = standing_of(record),
             .cold_until = record.cold_until});
    }
}

void catalog::add_references(view_data& parts) const
{
    for (const auto& [address, permitted_services] : permissions_)
    {
        view_reference reference{.address = address};
        for (const auto& [name, permission] : permitted_services)
        {
            reference.permitted_services.push_back({service_ids_.at(name)});
        }
        std::ranges::sort(reference.permitted_services);
        parts.references.push_back(std::move(reference));
    }
    if (!configuration_)
    {
        return;
    }
    for (const reference_configuration& configuration :
         configuration_->references)
    {
        const auto position =
            std::ranges::lower_bound(parts.references, configuration.address,
                                     {}, &view_reference::address);
        if (position == parts.references.end() ||
            position->address != configuration.address)
        {
            continue;
        }
        position->name = configuration.name;
        position->terms = configuration.terms;
        position->weighted_services.clear();
        for (const weighted_service& service : configuration.services)
        {
            position->weighted_services.push_back(
                {{service_ids_.at(service.name)}, service.weight});
        }
    }
    for (const service_configuration& configuration : configuration_->services)
    {
        const auto found = service_ids_.find(configuration.name);
        if (found != service_ids_.end())
        {
            parts.services[found->second].max_cold_flows_per_second =
                configuration.max_cold_flows_per_second;
        }
    }
}

} // namespace catkinkeel::steering
