#pragma once

// Tracks the flows that this daemon has seen recently, to measure the load of
// targets and to recognize retransmitted opening packets. Packets of untracked
// flows are steered by their token alone.

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"
#include "catkinkeel/steering/late_openings.hpp"
#include "catkinkeel/steering/request_progress.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace catkinkeel::steering
{

/// Progress of a flow's handshake.
enum class flow_stage : std::uint8_t
{
    /// Only opening packets were seen.
    opening,
    /// The caller has followed up the target's answer.
    established
};

/// How a flow loads its target.
enum class flow_activity : std::uint8_t
{
    /// Not counted: its opening packet got no answer, or it has ended.
    none,
    /// Open, without a request at work.
    idle,
    /// A request, or the opening packet, waits for its answer.
    at_work
};

/// State of one flow.
struct tracked_flow
{
    target_id target;
    flow_stage stage = flow_stage::opening;
    /// How the flow is included in the load of `target`.
    flow_activity activity = flow_activity::none;
    /// Targets that were sent an opening packet of the flow before `target`.
    std::vector<target_id> tried_targets;
    instant opened_at;
    /// When the last opening packet was sent.
    instant last_opening_sent;
    /// Set until the first request is answered, if its opening was late.
    std::optional<late_request> late;
    /// Whether `late` counts as a request in flight.
    bool late_in_flight = false;
    /// Meaningful once established.
    request_progress request;

    friend auto operator<=>(const tracked_flow&, const tracked_flow&) = default;
};

/// Whether a packet after the handshake of the flow was seen; not if `flow` is
/// null.
[[nodiscard]] bool is_established(const tracked_flow* flow);

/// What a packet shows about the request of its flow. `flow` is the record
/// before the packet, null if the flow is not tracked. The first packet begins
/// the request.
[[nodiscard]] request_step step_of(const tracked_flow* flow,
                                   const flow_segment& segment, instant now);

struct tracker_settings
{
    /// Maximum number of tracked flows; others are steered by their token
    /// alone. 61 million flows over 2,300 daemons are 26,500 per daemon.
    std::size_t max_flows = 65'536;
    /// Time after which a flow is forgotten until its next request. Exceeds the
    /// longest request deadline in use, 10 s.
    duration max_flow_age = 12s;

    friend auto operator<=>(const tracker_settings&,
                            const tracker_settings&) = default;
};

/// An opening packet that has not been answered yet.
struct pending_opening
{
    flow_key key;
    target_id target;
    instant sent_at;

    friend auto operator<=>(const pending_opening&,
                            const pending_opening&) = default;
};

/// Not thread-safe.
class flow_tracker
{
public:
    explicit flow_tracker(tracker_settings settings) : settings_(settings) {}

    /// Returns null if the flow is not tracked. The pointer is valid until the
    /// next change.
    [[nodiscard]] tracked_flow* find(const flow_key& key);

    /// Starts tracking a flow. Returns null if the tracker is full or the flow
    /// is tracked already.
    tracked_flow* add(const flow_key& key, const tracked_flow& flow);

    void erase(const flow_key& key);

    /// Queues an opening packet until `take_openings_until` returns it. Calls
    /// must be in order of `sent_at`.
    void expect_answer(const pending_opening& opening);

    /// Removes and returns the opening packets sent at or before `limit`,
    /// oldest first.
    std::vector<pending_opening> take_openings_until(instant limit);

    /// Stops tracking flows older than `max_flow_age` and returns them.
    std::vector<tracked_flow> take_expired(instant now);

    [[nodiscard]] std::size_t size() const
    {
        return flows_.size();
    }

private:
    struct aging_flow
    {
        flow_key key;
        instant opened_at;
    };

    tracker_settings settings_;
    std::unordered_map<flow_key, tracked_flow> flows_;
    std::deque<aging_flow> flows_by_age_;
    std::deque<pending_opening> pending_openings_;
};

} // namespace catkinkeel::steering
