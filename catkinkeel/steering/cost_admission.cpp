#include "catkinkeel/steering/cost_admission.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

constexpr double percentile = 0.3;
/// Part by which an exchange moves the estimate of the percentile; it follows
/// a change of work within some 100 exchanges.
constexpr double percentile_step = 0.02;
constexpr double max_rise_per_second = 0.001;
/// Exchanges shorter than this part of the work are failed or shed requests.
/// Normal exchange times vary by a factor of 1.5.
constexpr double too_short = 0.25;
/// How much a short exchange counts for the percentile. It is not 0 because
/// an estimate that was made in overload may be far too high.
constexpr double weight_of_short_exchange = 0.1;

/// The median of the exchanges that are not too short. A daemon that starts in
/// overload sees many short answers of targets that shed load, and an estimate
/// made of these would rise too slowly.
double
first_estimate(std::array<float, typical_work::initial_exchanges> exchanges)
{
    std::ranges::sort(exchanges);
    // Up to nine tenths of the exchanges may be short.
    const double high = exchanges.at(exchanges.size() * 9 / 10);
    const auto* first =
        std::ranges::lower_bound(exchanges, high * too_short, std::less{});
    return *(first + (exchanges.end() - first) / 2);
}

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

std::uint64_t position_key(const endpoint& address)
{
    return (std::uint64_t{address.address.value} << 16U) | address.port;
}

/// Time that the latency goal leaves after the work. At least half of the goal
/// counts, so that work that takes nearly as long as the goal does not hold
/// back others for any wait.
duration budget_of(const request_terms& terms, duration work)
{
    return std::max(terms.latency_goal - work, terms.latency_goal / 2);
}

} // namespace

recent_waits recent_waits::with(duration wait, instant now) const
{
    recent_waits next = *this;
    next.entries_.at(next.count_++ % capacity) = {wait, now};
    return next;
}

duration recent_waits::percentile(double part, duration window,
                                  std::size_t min_count, instant now) const
{
    std::array<duration, capacity> newest{};
    const std::size_t kept = std::min<std::uint64_t>(count_, capacity);
    std::size_t used = 0;
    while (used < kept)
    {
        const entry& each = entries_.at((count_ - 1 - used) % capacity);
        if (used >= min_count && now - each.ended_at > window)
        {
            break;
        }
        newest.at(used++) = each.wait;
    }
    if (used == 0)
    {
        return {};
    }
    const auto position = std::lround(part * static_cast<double>(used - 1));
    std::nth_element(newest.begin(), newest.begin() + position,
                     newest.begin() + used);
    return newest.at(position);
}

instant recent_waits::updated_at() const
{
    return count_ == 0 ? instant()
                       : entries_.at((count_ - 1) % capacity).ended_at;
}

typical_work typical_work::with(duration exchange, instant now) const
{
    if (exchange <= duration::zero())
    {
        // Packets of one batch have the same time, which shows no work.
        return *this;
    }
    typical_work next = *this;
    const double seconds = in_seconds(exchange);
    next.updated_at_ = now;
    if (exchanges_ < initial_exchanges)
    {
        next.first_seconds_.at(next.exchanges_++) = static_cast<float>(seconds);
        if (next.exchanges_ == initial_exchanges)
        {
            next.percentile_seconds_ = first_estimate(next.first_seconds_);
            next.seconds_ = next.percentile_seconds_;
        }
        return next;
    }
    const double weight =
        is_too_short(exchange) ? weight_of_short_exchange : 1.0;
    next.percentile_seconds_ *=
        1 + percentile_step * weight *
                (seconds > percentile_seconds_ ? percentile : percentile - 1);
    const double elapsed = std::max(0.0, in_seconds(now - updated_at_));
    next.seconds_ = std::min(seconds_ * (1 + max_rise_per_second * elapsed),
                             next.percentile_seconds_);
    return next;
}

std::optional<duration> typical_work::value() const
{
    return exchanges_ < initial_exchanges
               ? std::nullopt
               : std::optional(from_seconds(seconds_));
}

bool typical_work::is_too_short(duration exchange) const
{
    return in_seconds(exchange) < seconds_ * too_short;
}

double value_density(std::uint32_t priority, std::uint32_t lowest,
                     duration work)
{
    const double value = std::exp2(lowest - std::min(priority, lowest));
    return value / std::max(in_seconds(work), 1e-6);
}

double next_level(double level, duration wait, duration budget,
                  const cost_admission_settings& settings)
{
    const double used = in_seconds(wait) / in_seconds(budget);
    return used > settings.max_used_budget
               ? level * settings.fall_factor
               : std::min(1.0, level + settings.rise_step);
}

double admitted_share(double level, std::size_t rank, std::size_t count,
                      double min_share)
{
    if (rank + 1 >= count)
    {
        return 1;
    }
    const double reductions = (1 - level) * static_cast<double>(count - 1);
    const double reduction =
        std::clamp(reductions - static_cast<double>(rank), 0.0, 1.0);
    return 1 - (1 - min_share) * reduction;
}

admission_limits limits_for(duration work, duration latency_goal,
                            const admission_limits& constants,
                            const cost_admission_settings& settings)
{
    if (latency_goal <= duration::zero() || work <= duration::zero())
    {
        return constants;
    }
    const auto requests_within = [&](duration time)
    {
        return std::clamp(in_seconds(time) / in_seconds(work),
                          settings.min_requests_per_slot,
                          settings.max_requests_per_slot);
    };
    const double original = requests_within(latency_goal);
    // The last retransmission is late in any case. It keeps its small lead, as
    // no other follows.
    return {.max_load_original = original,
            .max_load_retransmission =
                requests_within(latency_goal - time_passed(1)),
            .max_load_last_retransmission =
                std::min(original * constants.max_load_last_retransmission /
                             constants.max_load_original,
                         settings.max_requests_per_slot)};
}

cost_admission::measured_reference*
cost_admission::measured_service::find(const endpoint& address)
{
    const auto found = positions.find(position_key(address));
    return found == positions.end() ? nullptr : &references[found->second];
}

cost_admission::measured_service* cost_admission::find(service_id service)
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

void cost_admission::replace_view(const steering_view& view)
{
    if (version_ == view.parts().version)
    {
        return;
    }
    version_ = view.parts().version;
    std::map<service_id, std::vector<measured_reference>> users;
    for (const view_reference& reference : view.parts().references)
    {
        for (const weighted_service_id& weighted : reference.weighted_services)
        {
            users[weighted.service].push_back(
                {.address = reference.address, .terms = reference.terms});
        }
    }
    std::unordered_map<service_id, measured_service> former =
        std::exchange(services_, {});
    for (auto& [id, references] : users)
    {
        const auto [lowest, highest] = std::ranges::minmax(
            references, {},
            [](const measured_reference& each) { return each.terms.priority; });
        const bool has_goal = std::ranges::any_of(
            references, [](const measured_reference& each)
            { return each.terms.latency_goal > duration::zero(); });
        if (lowest.terms.priority == highest.terms.priority || !has_goal)
        {
            continue;
        }
        measured_service& service = services_[id];
        const auto before = former.find(id);
        if (before != former.end())
        {
            service = before->second;
            service.positions.clear();
        }
        for (measured_reference& reference : references)
        {
            if (before != former.end())
            {
                if (const auto* known = before->second.find(reference.address))
                {
                    reference.work = known->work;
                }
            }
            service.positions[position_key(reference.address)] =
                static_cast<std::size_t>(&reference - references.data());
        }
        service.id = id;
        service.references = std::move(references);
        update_ranks(service);
    }
    for (auto& [id, service] : former)
    {
        if (!services_.contains(id))
        {
            set_level(service, 1);
        }
    }
}

void cost_admission::record_exchange(service_id service_of_flow,
                                     const endpoint& address, duration elapsed,
                                     instant now)
{
    measured_service* service = find(service_of_flow);
    measured_reference* reference =
        service == nullptr ? nullptr : service->find(address);
    if (reference == nullptr)
    {
        return;
    }
    expire(*service, now);
    const bool too_short_for_work = reference->work.is_too_short(elapsed);
    reference->work = reference->work.with(elapsed, now);
    ++service->exchanges;
    const std::optional<duration> work = reference->work.value();
    if (!work || too_short_for_work)
    {
        return;
    }
    service->waits =
        service->waits.with(std::max(duration::zero(), elapsed - *work), now);
    count_answer(*service, false, now);
}

void cost_admission::record_rejection(service_id service_of_flow, instant now)
{
    if (measured_service* service = find(service_of_flow))
    {
        count_answer(*service, true, now);
    }
}

void cost_admission::count_answer(measured_service& service, bool rejected,
                                  instant now)
{
    service.rejected_share +=
        ((rejected ? 1 : 0) - service.rejected_share) * rejection_weight;
    if (now >= service.next_update)
    {
        service.next_update = now + settings_.update_period;
        update(service, now);
    }
}

void cost_admission::update(measured_service& service, instant now)
{
    service.wait = service.waits.percentile(settings_.wait_percentile,
                                            settings_.wait_window,
                                            settings_.min_waits, now);
    service.shortest_wait = service.waits.percentile(0, settings_.wait_window,
                                                     settings_.min_waits, now);
    update_ranks(service);
    std::optional<duration> budget;
    for (const measured_reference& each : service.references)
    {
        const std::optional<duration> work = each.work.value();
        if (work && each.terms.latency_goal > duration::zero())
        {
            const duration own = budget_of(each.terms, *work);
            budget = budget ? std::min(*budget, own) : own;
        }
    }
    if (budget && service.exchanges >= typical_work::initial_exchanges)
    {
        const bool rejects =
            service.rejected_share > settings_.max_rejected_share;
        // Targets with short queues shed load before the wait grows long.
        set_level(service,
                  next_level(service.level, rejects ? *budget : service.wait,
                             *budget, settings_));
    }
}

void cost_admission::update_ranks(measured_service& service)
{
    std::uint32_t lowest = 0;
    for (const measured_reference& each : service.references)
    {
        lowest = std::max(lowest, each.terms.priority);
    }
    order_.clear();
    for (std::size_t i = 0; i < service.references.size(); ++i)
    {
        measured_reference& each = service.references[i];
        each.rank.reset();
        if (const std::optional<duration> work = each.work.value())
        {
            order_.emplace_back(
                value_density(each.terms.priority, lowest, *work), i);
        }
    }
    std::ranges::sort(order_);
    for (std::size_t i = 0; i < order_.size(); ++i)
    {
        service.references[order_[i].second].rank = i;
    }
    service.ranked = order_.size();
}

void cost_admission::set_level(measured_service& service, double level)
{
    const bool was_whole = service.level >= 1;
    service.level = level;
    service.was_reduced = service.was_reduced || level < 1;
    if (was_whole != (level >= 1) && changes_.size() < max_admission_changes)
    {
        changes_.push_back(
            {service.id, level, service.wait, service.rejected_share});
    }
}

void cost_admission::expire(measured_service& service, instant now)
{
    if (now - service.waits.updated_at() > settings_.measurement_lifetime)
    {
        service.waits = {};
        service.wait = {};
        service.shortest_wait = {};
        service.rejected_share = 0;
        set_level(service, 1);
    }
}

admission cost_admission::decide(const service_opening& opening,
                                 const candidate& best, random_source& random,
                                 instant now)
{
    measured_service* service = find(opening.service);
    const measured_reference* reference =
        service == nullptr ? nullptr : service->find(opening.reference);
    if (reference == nullptr || !reference->rank)
    {
        return admit(limits_, opening.retransmission, best);
    }
    expire(*service, now);
    const duration work = reference->work.value().value_or(duration::zero());
    const duration timeout = reference->terms.timeout;
    const duration earliest =
        time_passed(opening.retransmission) + work + service->shortest_wait;
    if (!opening.forwarded_before && timeout > duration::zero() &&
        earliest > timeout)
    {
        return admission::out_of_time;
    }
    const double share = admitted_share(service->level, *reference->rank,
                                        service->ranked, settings_.min_share);
    if (!opening.forwarded_before && share < 1 && random.unit() >= share)
    {
        // A dropped opening would be answered late after its repeat, and take
        // the place of one that can be answered in time.
        return admission::hold_back;
    }
    return admit(
        limits_for(work, reference->terms.latency_goal, limits_, settings_),
        opening.retransmission, best);
}

std::vector<service_admission> cost_admission::take_changes()
{
    return std::exchange(changes_, {});
}

std::vector<service_admission> cost_admission::reduced_services(instant now)
{
    std::vector<service_admission> reduced;
    for (auto& [id, service] : services_)
    {
        expire(service, now);
        if (service.was_reduced)
        {
            reduced.push_back(
                {id, service.level, service.wait, service.rejected_share});
        }
    }
    return reduced;
}

} // namespace catkinkeel::steering
