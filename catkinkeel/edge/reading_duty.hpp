#pragma once

// The thread that reads the metadata store and passes on what it says.

#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/metadata_source.hpp"
#include "catkinkeel/edge/peers_duty.hpp"
#include "catkinkeel/edge/snapshot_reader.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace catkinkeel::edge
{

/// News of the store for the catalogue of targets and terms.
struct reading
{
    /// Null if the store was asked in vain.
    std::shared_ptr<const steering::metadata_update> update;
};

/// Updates that wait to be applied.
inline constexpr std::size_t reading_ring_size = 64;

using reading_ring = bounded_ring<reading>;

/// One update with the changes of `later` after those of `first`. Of several
/// changes of one target the last one counts.
[[nodiscard]] steering::metadata_update
merge(steering::metadata_update first, const steering::metadata_update& later);

/// The delay before a failed read is repeated.
[[nodiscard]] duration retry_delay(const reading_settings& settings,
                                   std::uint32_t failures);

class reading_duty
{
public:
    /// What the reads confirm goes to `confirmed`, and `peers` is woken.
    reading_duty(reading_settings settings,
                 std::shared_ptr<metadata_source> source,
                 std::unique_ptr<snapshot_reader> snapshots,
                 std::shared_ptr<reading_ring> out,
                 std::shared_ptr<peer_news_ring> news,
                 std::shared_ptr<confirmation_ring> confirmed,
                 std::shared_ptr<udp_socket> peers,
                 std::shared_ptr<event_channel> events,
                 std::shared_ptr<edge_metrics> metrics);
    ~reading_duty();
    reading_duty(const reading_duty&) = delete;
    reading_duty& operator=(const reading_duty&) = delete;

private:
    void run();
    metadata_result read_once();
    metadata_result read_everything();
    metadata_result read_news();
    using read_method = metadata_result (reading_duty::*)(read_consistency,
                                                          std::uint64_t after,
                                                          duration wait);
    /// Makes one read; a read of the newest state confirms a revision.
    metadata_result call(read_consistency consistency, read_method read,
                         std::uint64_t after, duration wait = {});
    metadata_result read_all(read_consistency consistency, std::uint64_t after,
                             duration wait);
    metadata_result read_changes(read_consistency consistency,
                                 std::uint64_t after, duration wait);
    void take_news();
    /// While the store is out of reach, asks another daemon for what it knows
    /// if that is more.
    void read_snapshot();
    void take(steering::metadata_update update);
    void take(const history_lost& lost);
    void take(const source_failure& failed);
    /// Returns false if the duty is to end.
    bool sleep_until(instant moment);

    reading_settings settings_;
    std::shared_ptr<metadata_source> source_;
    std::unique_ptr<snapshot_reader> snapshots_;
    std::shared_ptr<reading_ring> out_;
    std::shared_ptr<peer_news_ring> news_;
    std::shared_ptr<confirmation_ring> confirmed_;
    std::shared_ptr<udp_socket> peers_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;

    /// Revision up to which the catalogue was told, by the store or by a peer.
    std::uint64_t revision_ = 0;
    /// Changes do not suffice: nothing was read yet, or the store has dropped
    /// the changes after `revision_`. Only the store can make up for that.
    bool everything_needed_ = true;
    std::uint32_t failures_ = 0;
    freshness freshness_;
    reader_rank rank_;
    instant unreachable_since_;

    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace catkinkeel::edge
