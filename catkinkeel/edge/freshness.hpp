#pragma once

// When a daemon may follow cheap, possibly stale answers of the metadata store,
// and when it has to ask for the newest state. Pure functions of what is known
// and of the time passed in.

#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace catkinkeel::edge
{

/// The store's newest revision was `revision` at `at`, or later. It comes from
/// an own read of the newest state or from a peer's.
struct confirmation
{
    std::uint64_t revision = 0;
    instant at;

    friend auto operator<=>(const confirmation&, const confirmation&) = default;
};

/// Where a daemon stands among those that it knows, by a hash that all compute
/// alike. 0 is the first.
struct reader_rank
{
    std::uint32_t among_all = 0;
    std::uint32_t in_data_centre = 0;

    friend auto operator<=>(const reader_rank&, const reader_rank&) = default;
};

struct freshness_settings
{
    /// The shortest bound in which a change has to be in effect.
    duration bound = 3s;
    /// Parts of the bound. The first of all daemons confirms for everybody; the
    /// others do it themselves where no confirmation arrives, the first of a
    /// data centre a little earlier, so that one read serves its neighbours.
    double first_confirms = 0.45;
    double others_confirm = 0.6;
    double step_by_rank = 0.02;
    std::uint32_t most_steps = 5;
    /// Longest wait in a cheap read. A stale replica is noticed at its end.
    double follow_wait = 0.3;
    /// A replica normally has a change that a peer knows after this time.
    duration replica_delay = 100ms;

    friend auto operator<=>(const freshness_settings&,
                            const freshness_settings&) = default;
};

/// Age of the last confirmation at which a daemon of this rank reads the newest
/// state itself.
[[nodiscard]] duration confirm_after(const freshness_settings& settings,
                                     const reader_rank& rank);

struct read_choice
{
    /// Read the newest state at once; otherwise follow a replica for `wait`.
    bool confirm = false;
    duration wait{};

    friend auto operator<=>(const read_choice&, const read_choice&) = default;
};

/// Keeps the newest confirmation. Not safe for use by two threads at once.
class freshness
{
public:
    explicit freshness(freshness_settings settings) : settings_(settings) {}

    /// Takes a confirmation that is newer than the one known.
    void note(const confirmation& known, instant now);

    [[nodiscard]] const std::optional<confirmation>& last() const
    {
        return last_;
    }

    /// What to read next by a daemon that has applied changes up to `revision`.
    [[nodiscard]] read_choice
    choose(std::uint64_t revision, const reader_rank& rank, instant now) const;

private:
    freshness_settings settings_;
    std::optional<confirmation> last_;
    instant noted_;
};

} // namespace catkinkeel::edge
