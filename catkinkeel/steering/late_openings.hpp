#pragma once

// Limits openings that can no longer be answered within their latency goal.
// After an outage, the openings of its whole duration return at once, as
// retransmissions. They are late whatever is done, so they must not wait in the
// queues of targets in front of openings that can still be answered in time.
// docs/design/hard_load.md, part 6, has the reasons.
//
// Example:
//   late_openings late;
//   if (is_deferrable(retransmission, terms) &&
//       !late.may_start(service, slots, now))
//   {
//       drop the opening; its caller retransmits it
//   }
//   late.request_started({service, now + terms.timeout});
//   late.request_ended(request);  // answered, ended or expired

#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/objects.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace catkinkeel::steering
{

/// Part of a service's slots that late openings may use, over all daemons. The
/// other part is for openings that can be answered in time.
inline constexpr double max_late_share = 0.5;

/// Whether an opening that arrives as this retransmission may be held back: it
/// is answered after the latency goal whatever the load is, and its caller's
/// timeout leaves room for another attempt. With a shorter timeout, callers of
/// an outage would get no answer instead of a late one. False if the goal or
/// the timeout is not known.
[[nodiscard]] bool is_deferrable(std::uint32_t retransmission,
                                 const request_terms& terms);

/// A request whose opening was late.
struct late_request
{
    service_id service;
    /// When its caller gives up. It is not in flight any more then, whatever
    /// its target does.
    instant deadline;

    friend auto operator<=>(const late_request&, const late_request&) = default;
};

/// Counts the late requests in flight of this daemon's flows. Not thread-safe.
class late_openings
{
public:
    /// `daemons` is the number of daemons that share the load, this one
    /// included. While it is not known, one late request of each service may be
    /// in flight.
    void set_daemon_count(std::uint32_t daemons);

    /// Whether another late request of the service may start, if the eligible
    /// targets of the service have so many slots.
    [[nodiscard]] bool may_start(service_id service, std::uint64_t slots,
                                 instant now) const;

    void request_started(const late_request& request);
    void request_ended(const late_request& request);

    /// Late requests of the service in flight.
    [[nodiscard]] std::size_t in_flight(service_id service, instant now) const;

private:
    std::optional<std::uint32_t> daemons_;
    std::unordered_map<service_id, std::vector<instant>> deadlines_;
};

} // namespace catkinkeel::steering
