#include "catkinkeel/edge/reading_duty.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/duty_step.hpp"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>

namespace catkinkeel::edge
{

namespace
{

/// Of this many reads in a row while the store is out of reach, one asks for
/// the newest state at once, in case that only replicas do not answer.
constexpr std::uint32_t newest_read_interval_in_outage = 4;

} // namespace

duration retry_delay(const reading_settings& settings, std::uint32_t failures)
{
    return backoff_delay(settings.first_retry_delay,
                         failures == 0 ? 0 : failures - 1,
                         settings.max_retry_delay);
}

steering::metadata_update merge(steering::metadata_update earlier,
                                const steering::metadata_update& later)
{
    std::set<std::string> withdrawn;
    for (const steering::metadata_change& change : later.changes)
    {
        withdrawn.insert(steering::unannounced_target(change));
    }
    std::erase_if(earlier.changes,
                  [&](const steering::metadata_change& change)
                  {
                      const auto* announcement =
                          std::get_if<steering::target_announced>(&change);
                      return announcement != nullptr &&
                             withdrawn.contains(announcement->target.name);
                  });
    earlier.revision = std::max(earlier.revision, later.revision);
    earlier.changes.insert(earlier.changes.end(), later.changes.begin(),
                           later.changes.end());
    return earlier;
}

reading_duty::reading_duty(
    reading_settings settings, std::shared_ptr<metadata_source> source,
    std::unique_ptr<snapshot_reader> snapshots,
    std::shared_ptr<read_result_ring> results,
    std::shared_ptr<full_read_request> full_read_requested,
    std::shared_ptr<peer_update_ring> peer_updates,
    std::shared_ptr<confirmation_ring> confirmations,
    std::shared_ptr<udp_socket> peer_socket,
    std::shared_ptr<event_channel> events,
    std::shared_ptr<edge_metrics> metrics)
    : settings_(settings),
      source_(std::move(source)),
      snapshots_(std::move(snapshots)),
      results_(std::move(results)),
      full_read_requested_(std::move(full_read_requested)),
      peer_updates_(std::move(peer_updates)),
      confirmations_(std::move(confirmations)),
      peer_socket_(std::move(peer_socket)),
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
        instant next;
        const bool completed = run_duty_step(
            "reading", *events_, *metrics_, [&] { next = read_and_process(); });
        if (!completed)
        {
            // The changes of the failed read may be lost.
            full_read_needed_ = true;
            next = steady_now() + settings_.max_retry_delay;
        }
        if (!sleep_until(next))
        {
            return;
        }
    }
}

instant reading_duty::read_and_process()
{
    const instant started = steady_now();
    process_peer_updates();
    if (full_read_requested_->exchange(false))
    {
        full_read_needed_ = true;
    }
    metadata_result result = read_once();
    std::visit([&](auto& each) { process(std::move(each)); }, result);
    if (failures_ > 0)
    {
        read_snapshot();
        return steady_now() + retry_delay(settings_, failures_);
    }
    return full_read_needed_ ? started : next_read(started);
}

instant reading_duty::next_read(instant started)
{
    // Confirmations that arrived during the read may postpone the next one.
    process_peer_updates();
    const instant next_confirmation =
        steady_now() + (freshness_.next_confirmation(rank_) - boot_now());
    return std::min(started + settings_.min_read_period, next_confirmation);
}

void reading_duty::process_peer_updates()
{
    while (const auto received = peer_updates_->try_pop())
    {
        rank_ = received->rank;
        if (received->confirmed)
        {
            freshness_.record(*received->confirmed);
        }
    }
}

void reading_duty::read_snapshot()
{
    process_peer_updates();
    const auto& last_confirmation = freshness_.last();
    const bool snapshot_needed =
        revision_ == 0 ||
        (last_confirmation && last_confirmation->revision > revision_);
    if (!snapshot_needed)
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
    freshness_.note_applied(revision_);
    results_->push({std::make_shared<const steering::metadata_update>(
        std::move(*update))});
}

metadata_result reading_duty::read_once()
{
    return full_read_needed_ ? read_full_state() : read_new_changes();
}

metadata_result reading_duty::read_full_state()
{
    metadata_result full =
        timed_read(read_consistency::any_replica, &reading_duty::read_all, 0);
    auto* update = std::get_if<steering::metadata_update>(&full);
    if (update == nullptr)
    {
        return full;
    }
    // A replica may be seconds behind, so the changes since its state are read
    // from the newest state.
    const metadata_result change_result =
        timed_read(read_consistency::newest, &reading_duty::read_changes,
                   update->revision);
    if (const auto* later =
            std::get_if<steering::metadata_update>(&change_result))
    {
        return merge(std::move(*update), *later);
    }
    const auto* failed = std::get_if<source_failure>(&change_result);
    if (failed != nullptr && !failed->unusable_answer)
    {
        return full;
    }
    return timed_read(read_consistency::newest, &reading_duty::read_all, 0);
}

metadata_result reading_duty::read_new_changes()
{
    const instant started = boot_now();
    const read_plan plan = freshness_.plan_read(revision_, rank_, started);
    // After a failure only the newest state shows which changes were missed. A
    // replica, which costs a fraction, is asked first whether the store answers
    // at all.
    const bool tests_reachability =
        failures_ % newest_read_interval_in_outage != 0;
    if ((!plan.confirm && failures_ == 0) || tests_reachability)
    {
        metadata_result replica_result = timed_read(
            read_consistency::any_replica, &reading_duty::read_changes,
            revision_, tests_reachability ? duration::zero() : plan.wait);
        const bool failed =
            std::holds_alternative<source_failure>(replica_result);
        const auto* update =
            std::get_if<steering::metadata_update>(&replica_result);
        const bool too_old = update != nullptr &&
                             freshness_.replica_too_old(
                                 std::max(revision_, update->revision), rank_,
                                 started + settings_.min_read_period);
        if (failed == tests_reachability && !too_old)
        {
            return replica_result;
        }
    }
    return timed_read(read_consistency::newest, &reading_duty::read_changes,
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

metadata_result reading_duty::timed_read(read_consistency consistency,
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
            freshness_.record_own(confirmed);
            confirmations_->push_newest(confirmed);
            peer_socket_->wake();
        }
    }
    return result;
}

void reading_duty::process(steering::metadata_update update)
{
    if (failures_ > 0)
    {
        const auto outage = std::chrono::floor<std::chrono::milliseconds>(
            boot_now() - unreachable_since_);
        events_->report(event_number::configuration_reachable,
                        {field("endpoint", source_->name()),
                         field("seconds", std::to_string(in_seconds(outage)))});
        failures_ = 0;
    }
    metrics_->store_confirmed.SetToCurrentTime();
    revision_ = std::max(revision_, update.revision);
    freshness_.note_applied(revision_);
    full_read_needed_ = full_read_needed_ && !update.complete;
    results_->push(
        {std::make_shared<const steering::metadata_update>(std::move(update))});
}

void reading_duty::process(const history_lost& /*lost*/)
{
    events_->report(event_number::metadata_history_lost,
                    {field("revision", revision_)});
    full_read_needed_ = true;
    // Changes may have been missed before the store dropped its history.
    results_->push({});
}

void reading_duty::process(const source_failure& failed)
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
    // The changes after `revision_` may never become readable, for example if
    // they are too large for one answer. The full state is read in pages.
    full_read_needed_ = full_read_needed_ || failed.unusable_answer;
    results_->push({});
}

bool reading_duty::sleep_until(instant moment)
{
    std::unique_lock lock(mutex_);
    return !stopped_.wait_for(lock, moment - steady_now(),
                              [this] { return stopping_; });
}

} // namespace catkinkeel::edge
