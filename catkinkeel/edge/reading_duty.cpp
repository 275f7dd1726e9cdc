#include "catkinkeel/edge/reading_duty.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

namespace catkinkeel::edge
{

duration retry_delay(const reading_settings& settings, std::uint32_t failures)
{
    return doubled_delay(settings.retry_first, failures == 0 ? 0 : failures - 1,
                         settings.retry_at_most);
}

steering::metadata_update merge(steering::metadata_update first,
                                const steering::metadata_update& later)
{
    std::set<std::string> withdrawn;
    for (const steering::metadata_change& change : later.changes)
    {
        if (const auto* gone = std::get_if<steering::target_withdrawn>(&change))
        {
            withdrawn.insert(gone->name);
        }
    }
    std::erase_if(first.changes,
                  [&](const steering::metadata_change& change)
                  {
                      const auto* announced =
                          std::get_if<steering::target_announced>(&change);
                      return announced != nullptr &&
                             withdrawn.contains(announced->target.name);
                  });
    first.revision = std::max(first.revision, later.revision);
    first.changes.insert(first.changes.end(), later.changes.begin(),
                         later.changes.end());
    return first;
}

reading_duty::reading_duty(reading_settings settings,
                           std::shared_ptr<metadata_source> source,
                           std::unique_ptr<snapshot_reader> snapshots,
                           std::shared_ptr<reading_ring> out,
                           std::shared_ptr<peer_news_ring> news,
                           std::shared_ptr<confirmation_ring> confirmed,
                           std::shared_ptr<udp_socket> peers,
                           std::shared_ptr<event_channel> events,
                           std::shared_ptr<edge_metrics> metrics)
    : settings_(settings),
      source_(std::move(source)),
      snapshots_(std::move(snapshots)),
      out_(std::move(out)),
      news_(std::move(news)),
      confirmed_(std::move(confirmed)),
      peers_(std::move(peers)),
      events_(std::move(events)),
      metrics_(std::move(metrics)),
      freshness_(settings_.freshness),
      thread_([this] { run(); })
{
}

reading_duty::~reading_duty()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stopped_.notify_all();
    source_->stop();
    snapshots_->stop();
    thread_.join();
}

void reading_duty::run()
{
    for (;;)
    {
        const instant started = steady_now();
        take_news();
        metadata_result result = read_once();
        std::visit([&](auto& each) { take(std::move(each)); }, result);
        instant next = started + settings_.pause;
        if (failures_ > 0)
        {
            read_snapshot();
            next = steady_now() + retry_delay(settings_, failures_);
        }
        else if (everything_needed_)
        {
            next = started;
        }
        if (!sleep_until(next))
        {
            return;
        }
    }
}

void reading_duty::take_news()
{
    while (const auto news = news_->try_pop())
    {
        rank_ = news->rank;
        if (news->confirmed)
        {
            freshness_.note(*news->confirmed, boot_now());
        }
    }
}

void reading_duty::read_snapshot()
{
    take_news();
    const auto& known = freshness_.last();
    const bool worth_asking =
        revision_ == 0 || (known && known->revision > revision_);
    if (!worth_asking)
    {
        return;
    }
    metadata_result result = snapshots_->read();
    if (const auto* failed = std::get_if<source_failure>(&result))
    {
        events_->report(event_number::snapshot_failed,
                        {field("reason", failed->reason)});
        return;
    }
    auto* update = std::get_if<steering::metadata_update>(&result);
    if (update == nullptr || update->revision <= revision_)
    {
        return;
    }
    metrics_->snapshots_taken.Increment();
    events_->report(
        event_number::snapshot_taken,
        {field("revision", update->revision), field("former", revision_)});
    revision_ = update->revision;
    out_->push({std::make_shared<const steering::metadata_update>(
        std::move(*update))});
}

metadata_result reading_duty::read_once()
{
    return everything_needed_ ? read_everything() : read_news();
}

metadata_result reading_duty::read_everything()
{
    metadata_result all =
        call(read_consistency::any_replica, &reading_duty::read_all, 0);
    auto* update = std::get_if<steering::metadata_update>(&all);
    if (update == nullptr)
    {
        return all;
    }
    // A replica may be seconds behind; the newest changes complete it.
    const metadata_result news =
        call(read_consistency::newest, &reading_duty::read_changes,
             update->revision);
    if (const auto* later = std::get_if<steering::metadata_update>(&news))
    {
        return merge(std::move(*update), *later);
    }
    if (std::holds_alternative<source_failure>(news))
    {
        return all;
    }
    return call(read_consistency::newest, &reading_duty::read_all, 0);
}

metadata_result reading_duty::read_news()
{
    const read_choice choice = freshness_.choose(revision_, rank_, boot_now());
    // After a failure only the newest state tells what was missed.
    if (!choice.confirm && failures_ == 0)
    {
        metadata_result followed =
            call(read_consistency::any_replica, &reading_duty::read_changes,
                 revision_, choice.wait);
        if (!std::holds_alternative<source_failure>(followed))
        {
            return followed;
        }
    }
    return call(read_consistency::newest, &reading_duty::read_changes,
                revision_);
}

metadata_result reading_duty::read_all(read_consistency consistency,
                                       std::uint64_t /*after*/,
                                       duration /*wait*/)
{
    return source_->read_all(consistency);
}

metadata_result reading_duty::read_changes(read_consistency consistency,
                                           std::uint64_t after, duration wait)
{
    return source_->read_changes(after, wait, consistency);
}

metadata_result reading_duty::call(read_consistency consistency,
                                   read_method read, std::uint64_t after,
                                   duration wait)
{
    const instant started = boot_now();
    metadata_result result = (this->*read)(consistency, after, wait);
    metrics_->store_reads.Increment();
    metrics_->store_read_seconds.Observe(in_seconds(boot_now() - started));
    const auto* update = std::get_if<steering::metadata_update>(&result);
    if (consistency == read_consistency::newest)
    {
        metrics_->store_reads_confirming.Increment();
        if (update != nullptr)
        {
            const confirmation confirmed{update->revision, started};
            freshness_.note(confirmed, started);
            confirmed_->push_newest(confirmed);
            peers_->wake();
        }
    }
    return result;
}

void reading_duty::take(steering::metadata_update update)
{
    if (failures_ > 0)
    {
        const auto away = std::chrono::floor<std::chrono::milliseconds>(
            boot_now() - unreachable_since_);
        events_->report(event_number::configuration_reachable,
                        {field("endpoint", source_->name()),
                         field("seconds", std::to_string(in_seconds(away)))});
        failures_ = 0;
    }
    metrics_->store_confirmed.SetToCurrentTime();
    revision_ = std::max(revision_, update.revision);
    everything_needed_ = everything_needed_ && !update.complete;
    out_->push(
        {std::make_shared<const steering::metadata_update>(std::move(update))});
}

void reading_duty::take(const history_lost& /*lost*/)
{
    events_->report(event_number::metadata_history_lost,
                    {field("revision", revision_)});
    everything_needed_ = true;
    // Reads may have missed changes before the history went.
    out_->push({});
}

void reading_duty::take(const source_failure& failed)
{
    {
        const std::lock_guard lock(mutex_);
        if (stopping_)
        {
            return;
        }
    }
    metrics_->store_reads_failed.Increment();
    if (failures_ == 0)
    {
        unreachable_since_ = boot_now();
        events_->report(event_number::configuration_unreachable,
                        {field("endpoint", source_->name()),
                         field("reason", failed.reason)});
    }
    ++failures_;
    out_->push({});
}

bool reading_duty::sleep_until(instant moment)
{
    std::unique_lock lock(mutex_);
    return !stopped_.wait_for(lock, moment - steady_now(),
                              [this] { return stopping_; });
}

} // namespace catkinkeel::edge
