#pragma once

// The changes that a daemon has seen, for `catkinkeel audit`. Held in memory
// only; every entry is also a log event.

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

/// Where a change comes from.
struct change_origin
{
    /// The set in effect when the change happened, or the set that is changed.
    set_version version;
    /// Why, for example "published set", "probe time-out" or "load report".
    std::string cause;
    /// Who published the set; empty for changes that no set caused.
    std::string published_by;

    friend auto operator<=>(const change_origin&,
                            const change_origin&) = default;
};

/// One change.
struct audit_entry
{
    /// 1 for the first entry of the process; gaps do not occur.
    std::uint64_t sequence = 0;
    event_record event;
    change_origin origin;

    friend auto operator<=>(const audit_entry&, const audit_entry&) = default;
};

/// Bounded; the oldest entry is dropped when it is full. Safe to use from any
/// thread.
class audit_trail
{
public:
    /// `capacity` is the number of entries, at least 1.
    explicit audit_trail(std::size_t capacity);

    /// Ignores events whose catalogue entry has no change kind and returns
    /// false for them.
    bool add(event_record event, change_origin origin);

    /// The entries with a sequence number above `after`, oldest first, at most
    /// `limit` of the newest.
    [[nodiscard]] std::vector<audit_entry> entries(std::uint64_t after,
                                                   std::size_t limit) const;

    /// Number of entries that were dropped to make room.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    mutable std::mutex mutex_;
    std::size_t capacity_;
    std::uint64_t last_sequence_ = 0;
    std::deque<audit_entry> entries_;
};

} // namespace catkinkeel
