#include "catkinkeel/edge/catalog_duty.hpp"

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/edge/duty_step.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace catkinkeel::edge
{

namespace
{

/// Changed targets that one update logs one by one. The first read of a start
/// has all targets; the log would take longer than the start.
constexpr std::size_t max_standing_lines = 16;

/// Pause after an unexpected exception, so that one that repeats keeps no
/// processor busy.
constexpr duration failed_step_pause = 100ms;

/// Longest wait for a read result if nothing in the catalogue expires.
constexpr duration max_wait = 1h;

} // namespace

catalog_duty::catalog_duty(
    steering::catalog_settings settings,
    std::shared_ptr<read_result_ring> results,
    std::shared_ptr<full_read_request> full_read_requested,
    std::shared_ptr<view_ring> views, std::shared_ptr<view_board> board,
    std::shared_ptr<readiness> ready, std::shared_ptr<event_channel> events,
    std::shared_ptr<edge_metrics> metrics)
    : settings_(settings),
      catalog_(settings),
      results_(std::move(results)),
      full_read_requested_(std::move(full_read_requested)),
      views_(std::move(views)),
      board_(std::move(board)),
      ready_(std::move(ready)),
      events_(std::move(events)),
      metrics_(std::move(metrics)),
      thread_([this] { run(); })
{
}

catalog_duty::~catalog_duty()
{
    results_->close();
    thread_.join();
}

void catalog_duty::run()
{
    while (!results_->closed())
    {
        const auto expiry = catalog_.next_expiry();
        const duration wait = expiry ? *expiry - boot_now() : max_wait;
        const auto result = results_->pop_for(std::max(wait, duration::zero()));
        const bool completed =
            run_duty_step("catalogue", *events_, *metrics_,
                          [&] { result ? process(*result) : expire(); });
        if (!completed)
        {
            // A part of the update may be missing from the catalogue.
            *full_read_requested_ = true;
            std::this_thread::sleep_for(failed_step_pause);
        }
    }
}

void catalog_duty::expire()
{
    const auto changes = catalog_.expire(boot_now());
    publish();
    report(changes);
}

void catalog_duty::process(const read_result& result)
{
    if (!result.update)
    {
        catalog_.note_store_unreachable(boot_now());
        return;
    }
    // Packets are steered by the new view while the changes are being logged:
    // 300 lines take 50 ms of processor time, more than a second on the
    // smallest VMs.
    const auto changes = catalog_.apply(*result.update, boot_now());
    publish();
    report(changes);
}

void catalog_duty::publish()
{
    if (!catalog_.has_configuration())
    {
        return;
    }
    auto view =
        std::make_shared<const steering::steering_view>(catalog_.make_view());
    board_->put(view);
    metrics_->configuration_version.Set(
        static_cast<double>(view->parts().version.value));
    metrics_->targets_open.Set(static_cast<double>(std::ranges::count(
        view->parts().targets, steering::target_standing::open,
        &steering::view_target::standing)));
    views_->push_newest(view);
    if (ready_->set_view_available())
    {
        metrics_->ready.Set(ready_->is_ready() ? 1 : 0);
        events_->report(event_number::readiness_changed,
                        {field("ready", ready_->is_ready() ? "yes" : "no"),
                         field("reason", std::string(ready_->reason()))});
    }
}

void catalog_duty::report(const std::vector<steering::catalog_event>& changes)
{
    std::size_t standing_changes = 0;
    for (const steering::catalog_event& change : changes)
    {
        if (std::holds_alternative<steering::target_standing_changed>(change) &&
            ++standing_changes > max_standing_lines)
        {
            continue;
        }
        std::visit([&](const auto& each) { log(each); }, change);
    }
    if (standing_changes > max_standing_lines)
    {
        log_standing_counts(standing_changes - max_standing_lines);
    }
    if (!lines_.empty())
    {
        events_->report(std::exchange(lines_, {}));
    }
}

void catalog_duty::add(event_number number, std::vector<event_field> fields)
{
    lines_.push_back({number, wall_now(), std::move(fields)});
}

void catalog_duty::log_standing_counts(std::size_t omitted)
{
    const auto view = board_->get();
    const auto count = [&](steering::target_standing standing)
    {
        return std::ranges::count(view->parts().targets, standing,
                                  &steering::view_target::standing);
    };
    using enum steering::target_standing;
    add(event_number::target_standings,
        {field("omitted", omitted), field("open", count(open)),
         field("draining", count(draining)),
         field("data_centre_out", count(data_centre_out)),
         field("withdrawn", count(withdrawn)),
         field("revision", catalog_.revision())});
}

void catalog_duty::log(const steering::configuration_in_effect& change)
{
    add(event_number::terms_in_effect,
        {field("version", change.version.value),
         field("references", change.references),
         field("revision", catalog_.revision())});
}

void catalog_duty::log(const steering::stale_configuration_ignored& change)
{
    add(event_number::set_older_ignored,
        {field("version", change.version.value),
         field("in_effect", change.in_effect.value)});
}

void catalog_duty::log(const steering::target_standing_changed& change)
{
    add(event_number::target_standing,
        {field("target", change.name), field("service", change.service),
         field("standing", std::string(to_string(change.standing))),
         field("revision", catalog_.revision())});
}

void catalog_duty::log(const steering::withdrawals_delayed& change)
{
    const auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.withdrawal_grace_period);
    add(event_number::target_lapse_doubted,
        {field("targets", change.targets),
         field("milliseconds", grace.count())});
}

void catalog_duty::log(const steering::data_centre_service_changed& change)
{
    add(change.in_service ? event_number::data_centre_in
                          : event_number::data_centre_out,
        {field("data_centre", change.name),
         field("version", catalog_.revision())});
}

void catalog_duty::log(const steering::entry_rejected& change)
{
    add(event_number::entry_rejected,
        {field("key", change.key), field("reason", change.reason)});
}

void catalog_duty::log(const steering::rejections_omitted& change)
{
    add(event_number::rejections_omitted,
        {field("entries", change.entries),
         field("revision", catalog_.revision())});
}

} // namespace catkinkeel::edge
