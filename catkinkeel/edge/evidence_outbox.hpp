#pragma once

// The reports of this daemon that wait to be sent to its peers.

#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/target_evidence.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace catkinkeel::edge
{

/// Maximum number of waiting reports. At the design size, a daemon has some 30
/// flows opened each second on the targets of a data centre that dies
/// (calculated).
inline constexpr std::size_t max_waiting_reports = 256;

/// Reports in the order in which their targets were first added. Not
/// thread-safe.
class evidence_outbox
{
public:
    /// Adds a report, in place of a waiting one of the same target and kind.
    /// If the outbox is full, the report that waits longest is dropped.
    void add(const steering::target_report& report);

    /// Drops the reports that are too old to be of use.
    void expire(instant now);

    /// Returns up to `count` reports that wait longest.
    [[nodiscard]] std::vector<steering::target_report>
    first(std::size_t count) const;
    /// Removes `count` reports that wait longest.
    void remove_first(std::size_t count);

    [[nodiscard]] bool empty() const
    {
        return waiting_.empty();
    }

    /// Number of reports that were dropped.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::deque<steering::target_report> waiting_;
    std::uint64_t dropped_ = 0;
};

} // namespace catkinkeel::edge
