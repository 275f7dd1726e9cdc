#include "catkinkeel/steering/request_progress.hpp"

namespace catkinkeel::steering
{

namespace
{

/// Whether sequence number `a` is after `b`, less than half of the number space
/// away.
bool is_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

request_progress begin_flow(const flow_segment& first, instant now)
{
    return {.in_progress = true,
            .sent_at = now,
            .next_sequence = first.sequence + first.data_bytes,
            .acknowledged = first.acknowledged};
}

request_step advance(const request_progress& progress,
                     const flow_segment& segment, instant now)
{
    request_step step{.next = progress};
    if (is_after(segment.acknowledged, progress.acknowledged))
    {
        step.next.acknowledged = segment.acknowledged;
        if (progress.in_progress)
        {
            step.answered_after = now - progress.sent_at;
            step.answered_bytes = segment.acknowledged - progress.acknowledged;
            step.next.in_progress = false;
        }
    }
    const std::uint32_t end = segment.sequence + segment.data_bytes;
    if (segment.data_bytes > 0 && is_after(end, progress.next_sequence))
    {
        step.next.next_sequence = end;
        step.next.in_progress = true;
        step.next.sent_at = now;
    }
    return step;
}

} // namespace catkinkeel::steering
