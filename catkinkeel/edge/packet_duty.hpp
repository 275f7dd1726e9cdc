#pragma once

// The thread that receives packets, steers each by the current view and sends
// them on. It blocks only in the kernel and never spins.

#include "catkinkeel/edge/catalog_duty.hpp"
#include "catkinkeel/edge/daemon_count_ring.hpp"
#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/evidence_exchange.hpp"
#include "catkinkeel/edge/packet_codec.hpp"
#include "catkinkeel/packet/udp_socket.hpp"
#include "catkinkeel/steering/steerer.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace catkinkeel::edge
{

/// Collects log lines about flows, limited in number per second, and reports
/// them in batches. Not thread-safe.
class flow_log
{
public:
    flow_log(std::uint32_t max_lines_per_second,
             std::shared_ptr<event_channel> events,
             std::shared_ptr<edge_metrics> metrics);

    /// Returns whether a line may be added at `now`. A line over the limit is
    /// counted as dropped.
    bool try_admit(instant now);
    void add(event_number number, std::vector<event_field> fields);
    void add(event_record record);
    /// Flushes the lines if there are many or the oldest one is due.
    void flush_if_due(instant now);
    void flush();
    [[nodiscard]] bool empty() const
    {
        return lines_.empty();
    }

private:
    std::uint32_t max_lines_per_second_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;
    event_channel::batch lines_;
    instant oldest_line_time_;
    instant second_start_;
    std::uint32_t admitted_ = 0;
    std::uint64_t dropped_lines_ = 0;
};

/// The event that says that a suspicion began or ended at `now`.
event_record make_suspicion_event(const steering::suspicion_change& change,
                                  instant now);

class packet_duty
{
public:
    /// `evidence` is null unless the daemon shares evidence about targets.
    packet_duty(const edge_settings& settings,
                std::shared_ptr<udp_socket> socket,
                std::shared_ptr<const packet_codec> codec,
                std::shared_ptr<view_ring> views,
                std::unique_ptr<evidence_exchange> evidence,
                std::shared_ptr<daemon_count_ring> daemon_counts,
                std::shared_ptr<event_channel> events,
                std::shared_ptr<edge_metrics> metrics);
    ~packet_duty();
    packet_duty(const packet_duty&) = delete;
    packet_duty& operator=(const packet_duty&) = delete;

    /// Returns the arrival time of the last packet, on the clock of `boot_now`.
    /// Safe to call from any thread.
    [[nodiscard]] instant last_packet() const
    {
        return instant(duration(last_packet_.load()));
    }

private:
    void run();
    /// Waits for the first view and meanwhile handles packets that waited too
    /// long. Returns false if the duty must end.
    bool wait_for_view(packet_batch& batch);
    void handle(const packet_batch& batch);
    void handle(const received_datagram& datagram);
    void execute(const steering::forward& to,
                 const steering::flow_packet& packet, packet_view bytes);
    void execute(const steering::refuse& refusal,
                 const steering::flow_packet& packet, packet_view bytes);
    void execute(const steering::discard& discarded_packet,
                 const steering::flow_packet& packet, packet_view bytes);
    void log_placement(const steering::steering_result& result,
                       const steering::flow_packet& packet);
    void log_reset(const steering::silence_details& facts,
                   const steering::flow_packet& packet);
    /// Reports the opening packets that targets have not answered. All packets
    /// received until `drained_at` have been processed.
    void report_unanswered(instant drained_at);
    /// Reports services that hold back openings.
    void report_admission();
    /// Reports the targets that are suspected from now on, or no longer.
    void report_suspicions();
    /// Longest time to wait for packets.
    [[nodiscard]] duration receive_wait() const;
    /// Makes the newest view from the ring the current one.
    void adopt_views();
    packet_storage& next_storage();
    [[nodiscard]] std::string view_age() const;

    std::shared_ptr<udp_socket> socket_;
    std::shared_ptr<const packet_codec> codec_;
    std::shared_ptr<view_ring> views_;
    std::unique_ptr<evidence_exchange> evidence_;
    std::shared_ptr<daemon_count_ring> daemon_counts_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;
    steering::steerer steerer_;
    flow_log flow_log_;
    /// Storage for packets that are modified before they are sent, for one
    /// batch.
    std::vector<packet_storage> storage_;
    std::size_t storage_used_ = 0;
    std::vector<outgoing_datagram> to_send_;
    instant now_;
    instant admission_reported_at_;
    std::atomic<duration::rep> last_packet_{0};
    std::thread thread_;
};

} // namespace catkinkeel::edge
