#include "catkinkeel/edge/reading_duty.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <algorithm>
#include <chrono>

namespace catkinkeel::edge
{

namespace
{

/// Doublings after which the delay stays the same; keeps the shift in range.
constexpr std::uint32_t most_doublings = 10;

double seconds_of(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

duration retry_delay(const reading_settings& settings, std::uint32_t failures)
{
    const std::uint32_t doublings =
        std::min(failures == 0 ? 0 : failures - 1, most_doublings);
    return std::min(settings.retry_first * (1U << doublings),
                    settings.retry_at_most);
}

reading_duty::reading_duty(reading_settings settings,
                           std::shared_ptr<metadata_source> source,
                           std::shared_ptr<reading_ring> out,
                           std::shared_ptr<event_channel> events,
                           std::shared_ptr<edge_metrics> metrics)
    : settings_(settings),
      source_(std::move(source)),
      out_(std::move(out)),
      events_(std::move(events)),
      metrics_(std::move(metrics)),
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
    thread_.join();
}

void reading_duty::run()
{
    for (;;)
    {
        const instant started = steady_now();
        metadata_result result = read_once();
        std::visit([&](auto& each) { take(std::move(each)); }, result);
        instant next = started + settings_.interval;
        if (failures_ > 0)
        {
            next = steady_now() + retry_delay(settings_, failures_);
        }
        else if (revision_ == 0)
        {
            next = started;
        }
        if (!sleep_until(next))
        {
            return;
        }
    }
}

metadata_result reading_duty::read_once()
{
    const instant started = steady_now();
    metadata_result result =
        revision_ == 0 ? source_->read_all()
                       : source_->read_changes(revision_, settings_.wait);
    metrics_->store_reads.Increment();
    metrics_->store_read_seconds.Observe(seconds_of(steady_now() - started));
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
                         field("seconds", std::to_string(seconds_of(away)))});
        failures_ = 0;
    }
    metrics_->store_confirmed.SetToCurrentTime();
    revision_ = std::max(revision_, update.revision);
    out_->push(
        std::make_shared<const steering::metadata_update>(std::move(update)));
}

void reading_duty::take(const history_lost& /*lost*/)
{
    events_->report(event_number::metadata_history_lost,
                    {field("revision", revision_)});
    revision_ = 0;
    // Watches may have been deaf before the history went.
    out_->push(contact_lost{});
}

void reading_duty::take(const source_failure& failed)
{
    metrics_->store_reads_failed.Increment();
    if (failures_ == 0)
    {
        unreachable_since_ = boot_now();
        events_->report(event_number::configuration_unreachable,
                        {field("endpoint", source_->name()),
                         field("reason", failed.reason)});
    }
    ++failures_;
    out_->push(contact_lost{});
}

bool reading_duty::sleep_until(instant moment)
{
    std::unique_lock lock(mutex_);
    return !stopped_.wait_for(lock, moment - steady_now(),
                              [this] { return stopping_; });
}

} // namespace catkinkeel::edge
