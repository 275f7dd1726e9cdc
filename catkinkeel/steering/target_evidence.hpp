#pragma once

// What this daemon and its peers have recently observed about targets that may
// be faulty. One daemon sees a small part of a target's flows, so the
// observations of several daemons are combined. The pool only keeps evidence;
// the parts that use it decide what it means.
//
// Example:
//   evidence_pool pool;
//   pool.record_own(target, evidence_kind::silence, 2, now);
//   pool.record_peer(peer, report, now);
//   const evidence_summary found =
//       pool.evidence_of(target, evidence_kind::silence, now);
//   for (const target_report& each : pool.take_outgoing()) { send(each); }

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/view.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace catkinkeel::steering
{

/// What an observation suggests about a target.
enum class evidence_kind : std::uint8_t
{
    /// Its answers look like errors.
    failing_answers,
    /// It does not acknowledge packets.
    silence
};
inline constexpr std::size_t evidence_kind_count = 2;

std::string_view to_string(evidence_kind kind);

/// One run of a target. A restarted target has another start time.
struct target_run
{
    /// `target_announcement::identity`.
    std::uint64_t identity = 0;
    std::int64_t started_ms = 0;

    friend auto operator<=>(const target_run&, const target_run&) = default;
};

[[nodiscard]] target_run run_of(const view_target& target);

/// What one daemon has observed of a target.
struct target_report
{
    target_run target;
    evidence_kind kind = evidence_kind::silence;
    /// Observations since the last one to the contrary; 0 withdraws earlier
    /// reports.
    std::uint32_t count = 0;
    instant observed_at;

    friend auto operator<=>(const target_report&,
                            const target_report&) = default;
};

/// A report and the daemon that sent it.
struct peer_report
{
    endpoint reporter;
    target_report report;

    friend auto operator<=>(const peer_report&, const peer_report&) = default;
};

/// The evidence of one kind about one target.
struct evidence_summary
{
    std::uint32_t own_count = 0;
    /// Sum of the counts of peers, each limited to `max_count_of_peer`.
    std::uint32_t peer_count = 0;
    /// Number of peers with a count above 0.
    std::uint32_t reporters = 0;

    friend auto operator<=>(const evidence_summary&,
                            const evidence_summary&) = default;
};

/// Time after which an observation does not count any more. A fault that lasts
/// is observed again within it by some daemon.
inline constexpr duration max_evidence_age = 2s;

/// Limits of the pool. A target counts once for each kind of evidence.
inline constexpr std::size_t max_evidence_targets = 1024;
inline constexpr std::size_t max_target_reporters = 16;

/// The time of a peer's report may be too early by this much, since it is
/// derived from the earliest time at which its datagram may have arrived.
inline constexpr duration max_report_time_error = 100ms;

/// Largest part of one peer in `evidence_summary::peer_count`, so that no
/// single peer decides by a large count.
inline constexpr std::uint32_t max_count_of_peer = 2;

/// Not thread-safe.
///
/// If the pool is full, it drops first what has expired, then the reports of
/// the peer that needs the room, then other reports of a single peer, and last
/// own observations and reports of several peers; the oldest first in each
/// case. So a peer that reports very many targets displaces only its own word.
class evidence_pool
{
public:
    /// Records that this daemon has made `count` observations of `target` since
    /// the last one to the contrary. Replaces the former count.
    void record_own(const view_target& target, evidence_kind kind,
                    std::uint32_t count, instant now);

    /// Records an own observation to the contrary. Own evidence is dropped, as
    /// is that of peers observed before `now`, also if it arrives later; peers
    /// that were told of own evidence get a withdrawal. Allocates no memory
    /// after the first call unless there is evidence to withdraw.
    void clear_own(const view_target& target, evidence_kind kind, instant now);

    /// Records the report of a peer. Reports that are older than the last one
    /// of the same peer by more than `max_report_time_error`, or too old, are
    /// ignored.
    void record_peer(const peer_report& received, instant now);

    [[nodiscard]] evidence_summary evidence_of(const view_target& target,
                                               evidence_kind kind,
                                               instant now) const;

    /// Returns the reports about own evidence that changed since the last call,
    /// for other daemons. Withdrawals are returned even if the pool has dropped
    /// their target meanwhile. If more than `max_evidence_targets` changed, the
    /// oldest reports that are no withdrawals are missing.
    std::vector<target_report> take_outgoing();

private:
    struct evidence_key
    {
        target_run target;
        evidence_kind kind = evidence_kind::silence;

        friend auto operator<=>(const evidence_key&,
                                const evidence_key&) = default;
    };
    struct observation
    {
        std::uint32_t count = 0;
        instant observed_at;
    };
    struct evidence
    {
        observation own;
        /// When this daemon last observed the contrary.
        std::optional<instant> cleared_at;
        std::map<endpoint, observation> peers;
        instant changed_at;
    };

    struct contrary_observation
    {
        evidence_key key;
        instant at = instant::min();
    };

    /// Whether a report of a peer counts: not withdrawn, expired or overruled.
    static bool counts(const observation& of_peer,
                       const std::optional<instant>& cleared_at, instant now);
    /// Returns the entry; a new one may displace others. `reporter` is the peer
    /// whose report needs it, empty for an own observation.
    evidence& entry(const evidence_key& key,
                    const std::optional<endpoint>& reporter, instant now);
    /// Removes entries and reports of peers that have expired. Does nothing if
    /// that was done within `max_evidence_age`.
    void expire(instant now);
    void drop_least_useful(const std::optional<endpoint>& reporter,
                           instant now);
    void add_outgoing(const evidence_key& key, const observation& own);
    /// The place of `key` in `contrary_`.
    contrary_observation& contrary_slot(const evidence_key& key);

    std::map<evidence_key, evidence> entries_;
    std::map<evidence_key, observation> outgoing_;
    /// Last own observations to the contrary by a hash of their key, for
    /// reports that arrive after them about targets without an entry. Where two
    /// keys share a place, the later observation has it. Empty until the first
    /// `clear_own`.
    std::vector<contrary_observation> contrary_;
    instant expired_at_ = instant::min();
};

} // namespace catkinkeel::steering
