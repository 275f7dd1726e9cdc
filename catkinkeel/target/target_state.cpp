#include "catkinkeel/target/target_state.hpp"

#include <algorithm>
#include <limits>

namespace catkinkeel
{

namespace
{

target_state as_draining(target_state known, instant now)
{
    known.state = report_state::draining;
    known.confidence = {report_confidence::min_level, now};
    return known;
}

target_state as_warm(target_state known, instant now)
{
    known.state = report_state::ready;
    known.warm = true;
    known.start_unobserved = false;
    known.steward_ramp.reset();
    known.confidence = {report_confidence::max_level, now};
    return known;
}

target_state as_cold(target_state known, instant now)
{
    known.warm = false;
    known.start_unobserved = false;
    if (known.steward_ramp)
    {
        known.steward_ramp = ramp{0, now, known.steward_ramp->confirmed_at};
    }
    return known;
}

std::uint32_t decreased_by_step(std::uint32_t from, std::uint32_t to,
                                std::uint32_t capacity)
{
    const std::uint32_t step = std::max<std::uint32_t>(1, capacity / 8);
    return std::max(to, from > step ? from - step : 0);
}

/// Takes the next ramp step if it is due. Called only for a report, so that
/// the ramp continues only while reports show that the target carried the
/// previous step.
target_state advance_ramp_if_due(target_state known, std::uint32_t capacity,
                                 instant now)
{
    if (!known.steward_ramp || known.steward_ramp->step == 0 ||
        !known.steward_ramp->due(now))
    {
        return known;
    }
    if (known.steward_ramp->limit(capacity) == capacity &&
        known.state == report_state::ready)
    {
        return as_warm(known, now);
    }
    known.steward_ramp = known.steward_ramp->advanced(now);
    return known;
}

} // namespace

target_state after_report(const target_state& known, const load_report& report,
                          std::uint32_t held_flows, std::uint32_t capacity,
                          instant now)
{
    target_state next = known;
    const bool first = !known.instance;
    const bool restarted = !first && known.instance != report.instance;
    const bool turned_cold = report.state == report_state::cold &&
                             (first || known.state != report_state::cold);
    // Flows to the previous instance may still be in the flow table.
    const std::uint32_t held_throughout =
        restarted || first ? 0 : std::min(known.held_flows, held_flows);
    const bool misleading = report.connections < held_throughout;

    next.instance = report.instance;
    next.read_locally = true;
    next.failed_reads = 0;
    next.held_flows = held_flows;
    next.busy_slots = report.busy_slots;
    next.last_report_at = now;
    if (restarted || turned_cold)
    {
        next = as_cold(next, now);
        next.state = report.state;
        next.connections = report.connections;
    }
    else if (first && !known.warm)
    {
        next.state = report.state;
        next.start_unobserved = report.state == report_state::ready;
    }
    next.connections =
        report.connections >= next.connections ? report.connections
        : misleading
            ? next.connections
            : decreased_by_step(next.connections, report.connections, capacity);
    if (report.state == report_state::draining)
    {
        return as_draining(next, now);
    }
    if (misleading)
    {
        return next;
    }
    next.reachable = true;
    next.state = report.state;
    next.confidence = next.confidence.raised(now);
    return advance_ramp_if_due(next, capacity, now);
}

target_state after_failed_read(const target_state& known, failure_kind kind)
{
    target_state next = known;
    next.failed_reads =
        kind == failure_kind::unavailable
            ? unreachable_failed_reads_threshold
            : static_cast<std::uint8_t>(std::min<int>(
                  known.failed_reads + 1, unreachable_failed_reads_threshold));
    next.reachable = known.reachable &&
                     next.failed_reads < unreachable_failed_reads_threshold;
    return next;
}

target_state after_peer_status(const target_state& known,
                               const target_status& status, bool from_reader,
                               bool polls_here, instant now)
{
    const bool same_instance = known.instance == status.instance;
    if (polls_here && known.read_locally)
    {
        // This VM's own report takes precedence, except that it cannot show
        // whether an instance that was already running is warm.
        return same_instance && known.start_unobserved && status.warm &&
                       known.state == report_state::ready
                   ? as_warm(known, now)
                   : known;
    }
    target_state next = known;
    const bool authoritative = from_reader || !known.instance;
    next.instance = status.instance;
    next.connections = authoritative
                           ? status.connections
                           : std::max(known.connections, status.connections);
    next.busy_slots = status.busy_slots;
    next.reachable = status.reachable && (authoritative || known.reachable);
    if (status.draining)
    {
        next.warm =
            status.warm && (authoritative || (same_instance && known.warm));
        return as_draining(next, now);
    }
    if (!status.warm || (!authoritative && !same_instance))
    {
        next.state = report_state::cold;
        return as_cold(next, now);
    }
    if (!authoritative)
    {
        return next;
    }
    if (!known.warm)
    {
        return as_warm(next, now);
    }
    next.state = report_state::ready;
    return next;
}

target_state after_elapsed_time(const target_state& known, report_reader reader,
                                instant now)
{
    target_state next = known;
    const bool reports_missing =
        reader == report_reader::none ||
        (reader == report_reader::other && !known.reachable) ||
        (reader == report_reader::self &&
         now - known.last_report_at >= report_confidence::lowering_period);
    if (reports_missing)
    {
        next.confidence = known.confidence.lowered(now);
    }
    else if (reader == report_reader::other &&
             known.state != report_state::draining)
    {
        next.confidence = known.confidence.raised(now);
    }
    return next;
}

target_state after_steward_check(const target_state& known, bool acting,
                                 instant now)
{
    target_state next = known;
    if (known.warm || !acting)
    {
        next.steward_ramp.reset();
    }
    else if (!known.steward_ramp || now - known.steward_ramp->confirmed_at >
                                        ramp::max_confirmation_gap)
    {
        next.steward_ramp = ramp{0, now, now};
    }
    else
    {
        const ramp& current = *known.steward_ramp;
        next.steward_ramp = current.step == 0 && current.due(now)
                                ? ramp{1, now, now}
                                : ramp{current.step, current.last_step_at, now};
    }
    return next;
}

} // namespace catkinkeel
