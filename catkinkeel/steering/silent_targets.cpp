#include "catkinkeel/steering/silent_targets.hpp"

#include <algorithm>
#include <array>

namespace catkinkeel::steering
{

namespace
{

bool is_withdrawn(const silence_findings& findings)
{
    return findings.withdrawn;
}

bool is_silent_to_flow(const silence_findings& findings)
{
    return findings.other == alternative::alive &&
           findings.own.flow_copies >= fatal_copies;
}

bool is_silent_to_flows(const silence_findings& findings)
{
    return findings.other == alternative::alive && findings.own.several_flows;
}

bool is_silent_to_peers(const silence_findings& findings)
{
    return is_reported_silent(findings.peers) &&
           findings.peers.peer_count + findings.own.target_copies >=
               fatal_shared_copies;
}

struct rule_condition
{
    silence_rule rule;
    bool (*holds)(const silence_findings&);
};

constexpr std::array rule_table{
    rule_condition{silence_rule::withdrawn, &is_withdrawn},
    rule_condition{silence_rule::same_flow, &is_silent_to_flow},
    rule_condition{silence_rule::several_flows, &is_silent_to_flows},
    rule_condition{silence_rule::peers, &is_silent_to_peers},
};

} // namespace

std::string_view to_string(silence_rule rule)
{
    constexpr std::array<std::string_view, silence_rule_count> names{
        "withdrawn", "same_flow", "several_flows", "peers"};
    return names.at(static_cast<std::size_t>(rule));
}

std::optional<silence_rule> rule_of(const silence_findings& findings)
{
    if (findings.own.flow_copies == 0 || findings.other == alternative::none)
    {
        return std::nullopt;
    }
    const auto found =
        std::ranges::find_if(rule_table, [&](const rule_condition& each)
                             { return each.holds(findings); });
    return found == rule_table.end() ? std::nullopt
                                     : std::optional(found->rule);
}

bool is_reported_silent(const evidence_summary& peers)
{
    return peers.reporters >= min_silence_reporters;
}

void silent_targets::record_copy(target_id target, const flow_key& flow,
                                 instant now)
{
    target_record& record = targets_[target];
    if (record.copies.size() >= max_copies_of_target)
    {
        record.copies.erase(record.copies.begin());
    }
    record.copies.push_back({flow, now});
    record.changed_at = now;
}

void silent_targets::record_other_packet(target_id target, instant now)
{
    record_copy(target, {}, now);
}

void silent_targets::record_unanswered(target_id target, const flow_key& flow)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
    {
        return;
    }
    // A sign of life may have removed the copy.
    std::vector<sent_copy>& copies = found->second.copies;
    const auto last =
        std::find_if(copies.rbegin(), copies.rend(),
                     [&](const sent_copy& each) { return each.flow == flow; });
    if (last != copies.rend())
    {
        last->unanswered = true;
    }
}

void silent_targets::record_unanswered_opening(target_id target, instant now)
{
    target_record& record = targets_[target];
    if (record.openings.size() >= max_copies_of_target)
    {
        record.openings.erase(record.openings.begin());
    }
    record.openings.push_back(now);
    record.changed_at = now;
}

void silent_targets::record_sign_of_life(target_id target,
                                         data_centre_id data_centre,
                                         const std::optional<instant>& sent_at,
                                         instant now)
{
    target_record& record = targets_[target];
    // An empty value is less than any time.
    record = {.answered_sent_at = std::max(record.answered_sent_at, sent_at),
              .changed_at = now};
    std::optional<instant>& answered = data_centres_answered_[data_centre];
    answered = std::max(answered, sent_at);
}

bool silent_targets::is_reachable(data_centre_id data_centre,
                                  instant since) const
{
    const auto found = data_centres_answered_.find(data_centre);
    return found != data_centres_answered_.end() && found->second >= since;
}

own_silence silent_targets::evidence_of(target_id target, const flow_key& flow,
                                        instant now) const
{
    own_silence evidence;
    const auto found = targets_.find(target);
    if (found == targets_.end())
    {
        return evidence;
    }
    // A copy without a verdict may have been answered. If it lies between the
    // others, they were not lost one directly after the other.
    std::uint32_t run = 0;
    const flow_key* run_flow = nullptr;
    bool run_of_one_flow = true;
    for (const sent_copy& each : found->second.copies)
    {
        if (!each.unanswered || now - each.sent_at > max_silence_age)
        {
            run = 0;
            if (each.flow == flow)
            {
                evidence.flow_copies = 0;
            }
            continue;
        }
        run_of_one_flow =
            run == 0 || (run_of_one_flow && each.flow == *run_flow);
        run_flow = &each.flow;
        ++run;
        ++evidence.target_copies;
        evidence.flow_copies += each.flow == flow ? 1 : 0;
        evidence.several_flows |= run >= fatal_copies && !run_of_one_flow;
    }
    const std::vector<instant>& openings = found->second.openings;
    evidence.openings = static_cast<std::uint32_t>(
        openings.end() -
        std::ranges::lower_bound(openings, now - max_silence_age));
    return evidence;
}

bool silent_targets::is_alive_since(target_id target, instant since) const
{
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.answered_sent_at >= since;
}

void silent_targets::discard_old(instant now)
{
    if (now - discarded_at_ < max_silence_age)
    {
        return;
    }
    discarded_at_ = now;
    std::erase_if(targets_, [&](const auto& each)
                  { return now - each.second.changed_at > max_silence_age; });
}

} // namespace catkinkeel::steering
