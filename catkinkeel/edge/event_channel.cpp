#include "catkinkeel/edge/event_channel.hpp"

#include "catkinkeel/clock/clock.hpp"

#include <exception>

namespace catkinkeel::edge
{

void event_channel::report(event_number number, std::vector<event_field> fields)
{
    report(batch{{number, wall_now(), std::move(fields)}});
}

bool event_channel::report(batch events)
{
    return ring_.try_push(std::move(events));
}

log_duty::log_duty(std::shared_ptr<event_channel> channel,
                   std::shared_ptr<event_log> log, std::function<void()> flush)
    : channel_(std::move(channel)),
      log_(std::move(log)),
      flush_(std::move(flush)),
      thread_([this] { run(); })
{
}

log_duty::~log_duty()
{
    channel_->ring().close();
    thread_.join();
}

void log_duty::run()
{
    std::uint64_t reported_drops = 0;
    while (const auto events = channel_->ring().pop())
    {
        try
        {
            for (const event_record& each : *events)
            {
                log_->report(each, steady_now());
            }
            report_dropped(reported_drops);
            flush_();
        }
        catch (const std::exception&)
        {
            // The log is this thread's only output, so the rest of the batch
            // is counted as dropped and reported with a later one.
            ++failed_batches_;
        }
    }
}

void log_duty::report_dropped(std::uint64_t& reported_drops)
{
    const std::uint64_t refused = channel_->ring().refused() + failed_batches_;
    if (refused == reported_drops)
    {
        return;
    }
    log_->report({event_number::records_dropped,
                  wall_now(),
                  {field("count", refused - reported_drops),
                   field("reason", "the log could not take them in time")}},
                 steady_now());
    reported_drops = refused;
}

} // namespace catkinkeel::edge
