#include "catkinkeel/steering/target_evidence.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace catkinkeel::steering
{

namespace
{

bool is_recent(instant observed_at, instant now)
{
    return now - observed_at <= max_evidence_age;
}

} // namespace

std::string_view to_string(evidence_kind kind)
{
    constexpr std::array<std::string_view, evidence_kind_count> names{
        "failing_answers", "silence"};
    return names.at(static_cast<std::size_t>(kind));
}

target_run run_of(const view_target& target)
{
    return {target.identity, target.started_ms};
}

evidence_pool::evidence& evidence_pool::entry(const evidence_key& key,
                                              instant now)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() && entries_.size() >= max_evidence_targets)
    {
        const auto oldest = std::ranges::min_element(
            entries_, {},
            [](const auto& each) { return each.second.changed_at; });
        outgoing_.erase(oldest->first);
        entries_.erase(oldest);
    }
    evidence& result = entries_[key];
    result.changed_at = now;
    return result;
}

void evidence_pool::record_own(const view_target& target, evidence_kind kind,
                               std::uint32_t count, instant now)
{
    const evidence_key key{run_of(target), kind};
    evidence& known = entry(key, now);
    known.own = {count, now};
    known.cleared_at.reset();
    outgoing_.insert(key);
}

void evidence_pool::clear_own(const view_target& target, evidence_kind kind,
                              instant now)
{
    const evidence_key key{run_of(target), kind};
    const auto found = entries_.find(key);
    if (found == entries_.end())
    {
        return;
    }
    if (found->second.own.count > 0)
    {
        outgoing_.insert(key);
    }
    found->second.own = {0, now};
    found->second.cleared_at = now;
    found->second.changed_at = now;
}

void evidence_pool::record_peer(const peer_report& received, instant now)
{
    const target_report& report = received.report;
    if (!is_recent(report.observed_at, now))
    {
        return;
    }
    std::map<endpoint, observation>& peers =
        entry({report.target, report.kind}, now).peers;
    const auto known = peers.find(received.reporter);
    if (known != peers.end() && known->second.observed_at > report.observed_at)
    {
        return;
    }
    if (known == peers.end() && peers.size() >= max_target_reporters)
    {
        peers.erase(std::ranges::min_element(
            peers, {},
            [](const auto& each) { return each.second.observed_at; }));
    }
    peers[received.reporter] = {report.count, report.observed_at};
}

evidence_summary evidence_pool::evidence_of(const view_target& target,
                                            evidence_kind kind,
                                            instant now) const
{
    evidence_summary summary;
    const auto found = entries_.find({run_of(target), kind});
    if (found == entries_.end())
    {
        return summary;
    }
    const evidence& known = found->second;
    if (is_recent(known.own.observed_at, now))
    {
        summary.own_count = known.own.count;
    }
    for (const auto& [reporter, each] : known.peers)
    {
        const bool overruled =
            known.cleared_at && *known.cleared_at >= each.observed_at;
        if (each.count > 0 && is_recent(each.observed_at, now) && !overruled)
        {
            summary.peer_count += each.count;
            ++summary.reporters;
        }
    }
    return summary;
}

std::vector<target_report> evidence_pool::take_outgoing()
{
    std::vector<target_report> reports;
    for (const evidence_key& key : std::exchange(outgoing_, {}))
    {
        const observation& own = entries_.at(key).own;
        reports.push_back({key.target, key.kind, own.count, own.observed_at});
    }
    return reports;
}

} // namespace catkinkeel::steering
