#pragma once

// The changes that a daemon has observed, for `catkinkeel audit`. They are kept
// in memory only and lost when the daemon stops. `event_log` fills the trail
// with the events that the catalogue marks as changes.

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/event/record.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace catkinkeel
{

/// What caused a change.
struct change_origin
{
    /// Version of the set in effect when the change happened or, for a change
    /// of the set itself, the new or refused version.
    set_version version;
    /// Cause of the change, for example "published set", "probe time-out" or
    /// "load report".
    std::string cause;
    /// Publisher of the set; empty for changes that no set caused.
    std::string published_by;

    friend auto operator<=>(const change_origin&,
                            const change_origin&) = default;
};

/// A recorded change with its sequence number.
struct audit_entry
{
    /// Starts at 1 in each process and increases without gaps.
    std::uint64_t sequence = 0;
    event_record event;
    change_origin origin;

    friend auto operator<=>(const audit_entry&, const audit_entry&) = default;
};

/// Bounded buffer of changes that drops the oldest entry when full.
/// Thread-safe.
class audit_trail
{
public:
    /// `capacity` is the number of entries, at least 1.
    explicit audit_trail(std::size_t capacity);

    /// Adds an event that the catalogue marks as a change. Ignores other events
    /// and returns false for them.
    bool add(event_record event, change_origin origin);

    /// Returns the newest `limit` entries with a sequence number above `after`,
    /// oldest first.
    [[nodiscard]] std::vector<audit_entry> entries(std::uint64_t after,
                                                   std::size_t limit) const;

    /// Number of entries dropped because the buffer was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    mutable std::mutex mutex_;
    std::size_t capacity_;
    std::uint64_t last_sequence_ = 0;
    std::deque<audit_entry> entries_;
};

} // namespace catkinkeel
