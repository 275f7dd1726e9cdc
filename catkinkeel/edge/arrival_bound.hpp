#pragma once

// Bounds the age of datagrams that waited in a socket. A process that was
// suspended reads datagrams long after they arrived.

#include "catkinkeel/base/time.hpp"

#include <algorithm>
#include <optional>

namespace catkinkeel::edge
{

/// Earliest time at which the datagrams of a receive may have arrived: the end
/// of the receive before it, if that one left the socket empty. Uses no time
/// stamps of the kernel, because these follow the time of day, which jumps.
/// Not thread-safe.
class arrival_bound
{
public:
    /// No receive waits longer than `max_wait` unless the process is suspended.
    explicit arrival_bound(duration max_wait) : max_wait_(max_wait) {}

    /// Records a receive that began at `started` or later and ended at
    /// `returned` or earlier. `drained` means that it left the socket empty.
    void record(instant started, instant returned, bool drained)
    {
        earliest_ = next_;
        if (drained)
        {
            // The process may have been suspended after the socket was empty.
            next_ = std::min(returned, started + max_wait_);
        }
    }

    /// The bound for the datagrams of the last recorded receive. Empty until a
    /// receive before it has left the socket empty.
    [[nodiscard]] const std::optional<instant>& earliest() const
    {
        return earliest_;
    }

private:
    duration max_wait_;
    std::optional<instant> earliest_;
    std::optional<instant> next_;
};

} // namespace catkinkeel::edge
