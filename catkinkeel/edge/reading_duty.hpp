#pragma once

// The thread that reads the metadata store and passes the updates to the
// catalogue thread.

#include "catkinkeel/edge/edge_metrics.hpp"
#include "catkinkeel/edge/edge_settings.hpp"
#include "catkinkeel/edge/event_channel.hpp"
#include "catkinkeel/edge/metadata_source.hpp"
#include "catkinkeel/edge/peers_duty.hpp"
#include "catkinkeel/edge/snapshot_reader.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

namespace catkinkeel::edge
{

/// Result of one read of the store, for the catalogue of targets and
/// configuration.
struct read_result
{
    /// Null if the read failed or changes may have been missed.
    std::shared_ptr<const steering::metadata_update> update;
};

/// Maximum number of read results that wait for the catalogue thread.
inline constexpr std::size_t read_result_ring_size = 64;

using read_result_ring = bounded_ring<read_result>;

/// By which the catalogue thread makes the reading thread read everything
/// again. Safe to use from any thread.
using full_read_request = std::atomic<bool>;

/// Returns one update with the changes of `earlier` followed by those of
/// `later`. Of several changes of one target only the last one takes effect, so
/// announcements of targets that `later` withdraws are dropped.
[[nodiscard]] steering::metadata_update
merge(steering::metadata_update earlier,
      const steering::metadata_update& later);

/// Delay before the next read after `failures` consecutive failed reads.
[[nodiscard]] duration retry_delay(const reading_settings& settings,
                                   std::uint32_t failures);

class reading_duty
{
public:
    /// Each read of the newest state yields a confirmation: the revision that
    /// was the newest at the time of the read. It is pushed to `confirmations`,
    /// and the thread that waits on `peer_socket` is woken to send it to the
    /// other daemons, so that they need not read the newest state themselves.
    reading_duty(reading_settings settings,
                 std::shared_ptr<metadata_source> source,
                 std::unique_ptr<snapshot_reader> snapshots,
                 std::shared_ptr<read_result_ring> results,
                 std::shared_ptr<full_read_request> full_read_requested,
                 std::shared_ptr<peer_update_ring> peer_updates,
                 std::shared_ptr<confirmation_ring> confirmations,
                 std::shared_ptr<udp_socket> peer_socket,
                 std::shared_ptr<event_channel> events,
                 std::shared_ptr<edge_metrics> metrics);
    ~reading_duty();
    reading_duty(const reading_duty&) = delete;
    reading_duty& operator=(const reading_duty&) = delete;

private:
    void run();
    /// Performs one read and returns the time of the next one.
    instant read_and_process();
    /// Time of the read that follows a successful one.
    instant next_read(instant started);
    metadata_result read_once();
    /// Reads the full state from any replica, then the later changes with a
    /// consistent read.
    metadata_result read_full_state();
    /// Reads the changes after `revision_`, from a replica if the last
    /// confirmation in `freshness_` is recent enough.
    metadata_result read_new_changes();
    using read_method = metadata_result (reading_duty::*)(read_consistency,
                                                          std::uint64_t after,
                                                          duration wait);
    /// Performs one read and records its metrics. A successful read of the
    /// newest state yields a confirmation.
    metadata_result timed_read(read_consistency consistency, read_method read,
                               std::uint64_t after, duration wait = {});
    metadata_result read_all(read_consistency consistency, std::uint64_t after,
                             duration wait);
    metadata_result read_changes(read_consistency consistency,
                                 std::uint64_t after, duration wait);
    void process_peer_updates();
    /// Requests a snapshot from another daemon while the store is unreachable,
    /// and passes it on if its revision is newer than `revision_`.
    void read_snapshot();
    void process(steering::metadata_update update);
    void process(const history_lost& lost);
    void process(const source_failure& failed);
    /// Returns false if the duty must end.
    bool sleep_until(instant moment);

    reading_settings settings_;
    std::shared_ptr<metadata_source> source_;
    std::unique_ptr<snapshot_reader> snapshots_;
    std::shared_ptr<read_result_ring> results_;
    std::shared_ptr<full_read_request> full_read_requested_;
    std::shared_ptr<peer_update_ring> peer_updates_;
    std::shared_ptr<confirmation_ring> confirmations_;
    std::shared_ptr<udp_socket> peer_socket_;
    std::shared_ptr<event_channel> events_;
    std::shared_ptr<edge_metrics> metrics_;

    /// Last revision passed to the catalogue, from the store or from a peer's
    /// snapshot.
    std::uint64_t revision_ = 0;
    /// Changes do not suffice: nothing was read yet, or the store has dropped
    /// the changes after `revision_`. Only a full read of the store clears
    /// this; a peer's snapshot does not.
    bool full_read_needed_ = true;
    std::uint32_t failures_ = 0;
    /// How recently this daemon or a peer confirmed the newest revision.
    freshness_tracker freshness_;
    /// Order in which the daemons confirm the newest revision.
    reader_rank rank_;
    instant unreachable_since_;

    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace catkinkeel::edge
