#pragma once

// Passes events from the daemon's duties to the thread that writes the log.
// Reporting never blocks: events are dropped and counted when the ring is full.

#include "catkinkeel/event/event_log.hpp"
#include "catkinkeel/event/record.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace catkinkeel::edge
{

/// Maximum number of event batches that wait to be written.
inline constexpr std::size_t event_ring_size = 256;

/// Safe to use from any thread.
class event_channel
{
public:
    using batch = std::vector<event_record>;

    event_channel() : ring_(event_ring_size) {}

    /// Reports one event with the current time.
    void report(event_number number, std::vector<event_field> fields);

    /// Returns false if the batch was dropped.
    bool report(batch events);

    bounded_ring<batch>& ring()
    {
        return ring_;
    }

private:
    bounded_ring<batch> ring_;
};

/// The thread that writes the log. Once the channel's ring is closed, it writes
/// the remaining events and ends.
class log_duty
{
public:
    /// `flush` is called after each batch.
    log_duty(std::shared_ptr<event_channel> channel,
             std::shared_ptr<event_log> log, std::function<void()> flush);
    ~log_duty();
    log_duty(const log_duty&) = delete;
    log_duty& operator=(const log_duty&) = delete;

private:
    void run();
    void report_dropped(std::uint64_t& reported_drops);

    std::shared_ptr<event_channel> channel_;
    std::shared_ptr<event_log> log_;
    std::function<void()> flush_;
    /// Batches of which some events could not be written.
    std::uint64_t failed_batches_ = 0;
    std::thread thread_;
};

} // namespace catkinkeel::edge
