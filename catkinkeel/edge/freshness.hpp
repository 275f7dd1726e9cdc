#pragma once

// Decides when a daemon may read the metadata store from a replica, which is
// cheap but possibly stale, and when it has to read the newest state. The
// decisions depend only on the recorded confirmations and the time passed in.

#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel::edge
{

/// At time `at` or later, `revision` was the store's newest revision. It
/// results from a read of the newest state by this daemon or by a peer.
struct confirmation
{
    std::uint64_t revision = 0;
    instant at;

    friend auto operator<=>(const confirmation&, const confirmation&) = default;
};

/// Whether `received` from a peer replaces `known`. The store's revision never
/// decreases, so a confirmation that claims a later time with a lower revision
/// has a wrong time.
[[nodiscard]] bool supersedes(const confirmation& received,
                              const std::optional<confirmation>& known);

/// Position of this daemon among the daemons in its peer table, ordered by a
/// hash that is the same on all of them. 0 is the first.
struct reader_rank
{
    std::uint32_t among_all = 0;
    std::uint32_t in_data_centre = 0;

    friend auto operator<=>(const reader_rank&, const reader_rank&) = default;
};

struct freshness_settings
{
    /// Time within which a change must be in effect; the shortest of the
    /// configured bounds.
    duration effect_bound = 3s;
    /// Fractions of `effect_bound`: the age of the last confirmation at which a
    /// daemon reads the newest state itself. The first daemon of all reads
    /// earliest and sends its confirmation to the others. The others read only
    /// if no confirmation arrives, the first of a data centre slightly earlier,
    /// so that one read serves the whole data centre.
    double first_confirm_fraction = 0.45;
    double others_confirm_fraction = 0.6;
    double rank_step_fraction = 0.02;
    std::uint32_t max_rank_steps = 5;
    /// Longest wait in a read from a replica, as a fraction of `effect_bound`.
    /// A stale replica is detected only when the wait ends.
    double replica_wait_fraction = 0.3;
    /// Longest wait in a read from a replica if a peer has confirmed a later
    /// revision. By then a replica normally has it.
    duration replica_delay = 100ms;

    friend auto operator<=>(const freshness_settings&,
                            const freshness_settings&) = default;
};

/// Age of the last confirmation at which a daemon of this rank reads the newest
/// state itself.
[[nodiscard]] duration max_confirmation_age(const freshness_settings& settings,
                                            const reader_rank& rank);

struct read_plan
{
    /// Read the newest state at once; otherwise read changes from a replica and
    /// wait up to `wait` for the first one.
    bool confirm = false;
    duration wait{};

    friend auto operator<=>(const read_plan&, const read_plan&) = default;
};

/// Keeps the newest confirmation and plans the next read. Not thread-safe.
///
/// The time in which a change takes effect is counted from the time as of which
/// the applied state is known to be the newest. Later confirmations do not
/// extend it until their revision is applied.
class freshness_tracker
{
public:
    explicit freshness_tracker(freshness_settings settings)
        : settings_(settings)
    {
    }

    /// Stores a confirmation of a peer if it supersedes the last one.
    void record(const confirmation& received);

    /// Stores a confirmation of this daemon's own read if it is later than the
    /// last one. It replaces one of a peer with a wrong revision.
    void record_own(const confirmation& own);

    /// The daemon has applied all changes up to `revision`.
    void note_applied(std::uint64_t revision);

    [[nodiscard]] const std::optional<confirmation>& last() const
    {
        return last_;
    }

    /// Plans the next read of a daemon that has applied the changes up to
    /// `revision`.
    [[nodiscard]] read_plan plan_read(std::uint64_t revision,
                                      const reader_rank& rank,
                                      instant now) const;

    /// Whether the newest state must be read although a replica was read just
    /// now: the replica has not delivered a revision that a peer has confirmed,
    /// and the read after this one, at `next_read`, would be too late.
    /// `revision` includes what the replica returned.
    [[nodiscard]] bool replica_too_old(std::uint64_t revision,
                                       const reader_rank& rank,
                                       instant next_read) const;

    /// Time at which the newest state must be read unless a newer confirmation
    /// arrives before. The epoch if nothing was confirmed yet.
    [[nodiscard]] instant next_confirmation(const reader_rank& rank) const;

private:
    [[nodiscard]] bool is_behind(std::uint64_t revision) const
    {
        return last_ && last_->revision > revision;
    }

    freshness_settings settings_;
    std::optional<confirmation> last_;
    /// The applied state includes every change acknowledged before this time.
    instant applied_as_of_;
};

} // namespace catkinkeel::edge
