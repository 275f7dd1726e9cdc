#pragma once

// The thread that maintains the catalogue and passes new views to the packet
// thread.

#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/readiness.hpp"
#include "catkinkeel/edge/reading_duty.hpp"
#include "catkinkeel/edge/view_board.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"
#include "catkinkeel/steering/catalog.hpp"
#include "catkinkeel/steering/view.hpp"

#include <memory>
#include <thread>

namespace catkinkeel::edge
{

using view_ring = bounded_ring<std::shared_ptr<const steering::steering_view>>;

/// Maximum number of views that wait for the packet thread. Only the newest one
/// is needed.
inline constexpr std::size_t view_ring_size = 2;

class catalog_duty
{
public:
    catalog_duty(steering::catalog_settings settings,
                 std::shared_ptr<read_result_ring> results,
                 std::shared_ptr<full_read_request> full_read_requested,
                 std::shared_ptr<view_ring> views,
                 std::shared_ptr<view_board> board,
                 std::shared_ptr<readiness> ready,
                 std::shared_ptr<event_channel> events,
                 std::shared_ptr<edge_metrics> metrics);
    ~catalog_duty();
    catalog_duty(const catalog_duty&) = delete;
    catalog_duty& operator=(const catalog_duty&) = delete;

private:
    void run();
    void process(const read_result& result);
    void expire();
    void publish();
    void report(const std::vector<steering::catalog_event>& changes);

    /// Adds a line to `lines_`.
    void add(event_number number, std::vector<event_field> fields);
    void log_standing_counts(std::size_t omitted);
    void log(const steering::configuration_in_effect& change);
    void log(const steering::stale_configuration_ignored& change);
    void log(const steering::target_standing_changed& change);
    void log(const steering::withdrawals_delayed& change);
    void log(const steering::data_centre_service_changed& change);
    void log(const steering::entry_rejected& change);
    void log(const steering::rejections_omitted& change);

    steering::catalog_settings settings_;
    steering::catalog catalog_;
    std::shared_ptr<read_result_ring> results_;
    std::shared_ptr<full_read_request> full_read_requested_;
    std::shared_ptr<view_ring> views_;
    std::shared_ptr<view_board> board_;
    std::shared_ptr<readiness> ready_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;
    /// The lines of one update, which the log thread gets together: each
    /// wake-up of that thread costs as much as a line.
    event_channel::batch lines_;
    std::thread thread_;
};

} // namespace catkinkeel::edge
