#include "catkinkeel/steering/target_evidence.hpp"

#include "catkinkeel/base/hash.hpp"

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

/// Number of targets of which the last observation to the contrary is kept:
/// 32 KB. A daemon of the design size sees some 300 answers within
/// `max_evidence_age`.
constexpr std::size_t contrary_slots = 1024;

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

bool evidence_pool::counts(const observation& of_peer,
                           const std::optional<instant>& cleared_at,
                           instant now)
{
    const bool overruled = cleared_at && *cleared_at >= of_peer.observed_at;
    return of_peer.count > 0 && is_recent(of_peer.observed_at, now) &&
           !overruled;
}

evidence_pool::evidence&
evidence_pool::entry(const evidence_key& key,
                     const std::optional<endpoint>& reporter, instant now)
{
    const auto found = entries_.find(key);
    if (found != entries_.end())
    {
        return found->second;
    }
    expire(now);
    if (entries_.size() >= max_evidence_targets)
    {
        drop_least_useful(reporter, now);
    }
    evidence& result = entries_[key];
    if (!contrary_.empty() && contrary_slot(key).key == key)
    {
        result.cleared_at = contrary_slot(key).at;
    }
    return result;
}

void evidence_pool::expire(instant now)
{
    // The first call has no earlier one; `instant::min()` cannot be subtracted.
    if (expired_at_ != instant::min() && now - expired_at_ < max_evidence_age)
    {
        return;
    }
    expired_at_ = now;
    for (auto& [key, known] : entries_)
    {
        std::erase_if(known.peers, [&](const auto& each)
                      { return !is_recent(each.second.observed_at, now); });
    }
    std::erase_if(entries_,
                  [&](const auto& each)
                  {
                      const evidence& known = each.second;
                      return known.peers.empty() &&
                             !(known.own.count > 0 &&
                               is_recent(known.own.observed_at, now));
                  });
}

void evidence_pool::drop_least_useful(const std::optional<endpoint>& reporter,
                                      instant now)
{
    enum class use : std::uint8_t
    {
        expired,
        report_of_reporter,
        report_of_one_peer,
        several_observations
    };
    const auto use_of = [&](const evidence& known)
    {
        if (known.own.count > 0 && is_recent(known.own.observed_at, now))
        {
            return use::several_observations;
        }
        use result = use::expired;
        for (const auto& [peer, each] : known.peers)
        {
            if (!counts(each, known.cleared_at, now))
            {
                continue;
            }
            if (result != use::expired)
            {
                return use::several_observations;
            }
            result = peer == reporter ? use::report_of_reporter
                                      : use::report_of_one_peer;
        }
        return result;
    };
    entries_.erase(std::ranges::min_element(
        entries_, {},
        [&](const auto& each)
        { return std::pair(use_of(each.second), each.second.changed_at); }));
}

evidence_pool::contrary_observation&
evidence_pool::contrary_slot(const evidence_key& key)
{
    const std::uint64_t run = hash_pair(
        key.target.identity, static_cast<std::uint64_t>(key.target.started_ms));
    const std::uint64_t hash =
        hash_pair(run, static_cast<std::uint64_t>(key.kind));
    return contrary_[hash % contrary_.size()];
}

void evidence_pool::add_outgoing(const evidence_key& key,
                                 const observation& own)
{
    if (outgoing_.size() >= max_evidence_targets && !outgoing_.contains(key))
    {
        outgoing_.erase(std::ranges::min_element(
            outgoing_, {},
            [](const auto& each) {
                return std::pair(each.second.count == 0,
                                 each.second.observed_at);
            }));
    }
    outgoing_[key] = own;
}

void evidence_pool::record_own(const view_target& target, evidence_kind kind,
                               std::uint32_t count, instant now)
{
    const evidence_key key{run_of(target), kind};
    evidence& known = entry(key, std::nullopt, now);
    known.own = {count, now};
    known.changed_at = now;
    add_outgoing(key, known.own);
}

void evidence_pool::clear_own(const view_target& target, evidence_kind kind,
                              instant now)
{
    const evidence_key key{run_of(target), kind};
    if (contrary_.empty())
    {
        contrary_.resize(contrary_slots);
    }
    contrary_slot(key) = {key, now};
    const auto found = entries_.find(key);
    if (found == entries_.end())
    {
        return;
    }
    evidence& known = found->second;
    // Peers do not count a report any more that is not recent.
    outgoing_.erase(key);
    if (known.own.count > 0 && is_recent(known.own.observed_at, now))
    {
        add_outgoing(key, {0, now});
    }
    known.own = {0, now};
    known.cleared_at = now;
    known.changed_at = now;
}

void evidence_pool::record_peer(const peer_report& received, instant now)
{
    const target_report& report = received.report;
    const evidence_key key{report.target, report.kind};
    const bool withdraws_nothing = report.count == 0 && !entries_.contains(key);
    if (!is_recent(report.observed_at, now) || withdraws_nothing)
    {
        return;
    }
    evidence& known = entry(key, received.reporter, now);
    // The report may have been received after `now` was read.
    const observation observed{report.count, std::min(report.observed_at, now)};
    const auto former = known.peers.find(received.reporter);
    if (former != known.peers.end() &&
        former->second.observed_at - observed.observed_at >
            max_report_time_error)
    {
        return;
    }
    if (former == known.peers.end() &&
        known.peers.size() >= max_target_reporters)
    {
        const auto oldest = std::ranges::min_element(
            known.peers, {},
            [](const auto& each) { return each.second.observed_at; });
        if (oldest->second.observed_at > observed.observed_at)
        {
            return;
        }
        known.peers.erase(oldest);
    }
    known.peers[received.reporter] = observed;
    known.changed_at = now;
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
        if (counts(each, known.cleared_at, now))
        {
            summary.peer_count += std::min(each.count, max_count_of_peer);
            ++summary.reporters;
        }
    }
    return summary;
}

std::vector<target_report> evidence_pool::take_outgoing()
{
    std::vector<target_report> reports;
    for (const auto& [key, own] : std::exchange(outgoing_, {}))
    {
        reports.push_back({key.target, key.kind, own.count, own.observed_at});
    }
    return reports;
}

} // namespace catkinkeel::steering
