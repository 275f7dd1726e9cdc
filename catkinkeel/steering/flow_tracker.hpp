#pragma once

// The flows that this daemon has seen lately, for the load of targets and for
// repeated opening packets. Steering does not need it: a packet of an untracked
// flow follows its token.

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace catkinkeel::steering
{

enum class flow_stage : std::uint8_t
{
    /// Only opening packets were seen.
    opening,
    established
};

struct tracked_flow
{
    target_id target;
    flow_stage stage = flow_stage::opening;
    /// Whether the flow counts as load of `target`.
    bool counted = false;
    /// Targets that got an opening packet of the flow before `target`.
    std::vector<target_id> tried;
    instant opened;
    /// When the last opening packet was sent.
    instant last_opening;
    instant established;

    friend auto operator<=>(const tracked_flow&, const tracked_flow&) = default;
};

struct tracker_settings
{
    /// Flows tracked at most; others are steered by their token alone. 61
    /// million flows over 2,300 daemons are 26,500 a daemon.
    std::size_t capacity = 65'536;
    /// A flow counts as load for so long at most. Longer than the longest
    /// deadline of a request in use, 10 s.
    duration lifetime = 12s;

    friend auto operator<=>(const tracker_settings&,
                            const tracker_settings&) = default;
};

/// An opening packet that may stay without an answer.
struct pending_opening
{
    flow_key key;
    target_id target;
    instant sent;

    friend auto operator<=>(const pending_opening&,
                            const pending_opening&) = default;
};

/// Not safe for use by two threads at once.
class flow_tracker
{
public:
    explicit flow_tracker(tracker_settings settings) : settings_(settings) {}

    /// Null if the flow is not tracked; valid until the next change.
    [[nodiscard]] tracked_flow* find(const flow_key& key);

    /// Tracks a flow that is not tracked yet. Null if the tracker is full.
    tracked_flow* add(const flow_key& key, const tracked_flow& flow);

    void erase(const flow_key& key);

    /// Remembers an opening packet; calls are made in order of time.
    void expect_answer(const pending_opening& opening);

    /// Opening packets sent at or before `limit`, oldest first; each is
    /// returned once.
    std::vector<pending_opening> take_openings_until(instant limit);

    /// Stops tracking flows older than the lifetime and returns them.
    std::vector<tracked_flow> take_expired(instant now);

    [[nodiscard]] std::size_t size() const
    {
        return flows_.size();
    }

private:
    struct aging_flow
    {
        flow_key key;
        instant opened;
    };

    tracker_settings settings_;
    std::unordered_map<flow_key, tracked_flow> flows_;
    std::deque<aging_flow> by_age_;
    std::deque<pending_opening> openings_;
};

} // namespace catkinkeel::steering
