#include "catkinkeel/steering/request_progress.hpp"

namespace catkinkeel::steering
{

namespace
{

/// Callers may probe an idle flow or a full window with up to one byte (RFC
/// 1122, 4.2.3.6), which a target that lives need not acknowledge as new data.
constexpr std::uint32_t max_probe_bytes = 1;

/// Whether sequence number `a` is after `b`, less than half of the number space
/// away.
bool is_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

/// Counts a packet that repeats the last data of a request without an answer.
void record_repeat(request_step& step, const request_progress& before,
                   instant now)
{
    step.next.last_copy_at = now;
    if (before.copies > 0 && now - before.last_copy_at < min_copy_interval)
    {
        return;
    }
    step.next.copies = before.copies + 1;
    step.is_copy = true;
    step.unanswered_copies = before.copies;
}

} // namespace

request_progress begin_flow(const flow_segment& first, instant now)
{
    return {.in_progress = true,
            .sent_at = now,
            .next_sequence = first.sequence + first.data_bytes,
            .acknowledged = first.acknowledged,
            .copies = first.data_bytes > 0 ? 1U : 0U,
            .last_copy_at = now};
}

request_step advance(const request_progress& progress,
                     const flow_segment& segment, instant now)
{
    request_step step{.next = progress};
    if (is_after(segment.acknowledged, progress.acknowledged))
    {
        step.acknowledges = true;
        step.next.copies = 0;
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
        step.next.copies = 1;
        step.next.last_copy_at = now;
        step.is_copy = true;
    }
    else if (segment.data_bytes > max_probe_bytes &&
             end == progress.next_sequence && step.next.in_progress &&
             segment.acknowledged == progress.acknowledged)
    {
        record_repeat(step, progress, now);
    }
    return step;
}

request_progress without_copies(const request_progress& progress)
{
    request_progress anew = progress;
    anew.copies = 0;
    return anew;
}

} // namespace catkinkeel::steering
