#include "catkinkeel/steering/silence_detector.hpp"

#include <algorithm>

namespace catkinkeel::steering
{

std::optional<silence_details>
silence_detector::record_packet(const target_packet& packet,
                                candidate_source& source, evidence_pool& pool,
                                instant now)
{
    const target_id target = packet.target.id;
    const bool established = is_established(packet.flow);
    if (established && packet.flow->target != target)
    {
        // The record is of a former flow of the caller's port.
        targets_.record_other_packet(target, now);
        return std::nullopt;
    }
    const request_step& step = packet.step;
    const bool completes_handshake = !established && packet.flow != nullptr;
    if (completes_handshake || step.acknowledges)
    {
        record_sign_of_life(packet, pool, now);
    }
    if (!step.is_copy || packet.ends)
    {
        if (!step.acknowledges)
        {
            targets_.record_other_packet(target, now);
        }
        return std::nullopt;
    }
    if (step.unanswered_copies > 0)
    {
        targets_.record_unanswered(target, packet.key);
        report_own(packet.target, packet.flow->request.last_copy_at, pool, now);
        if (const auto facts = judge_repeat(packet, source, pool, now))
        {
            return facts;
        }
    }
    targets_.record_copy(target, packet.key, now);
    return std::nullopt;
}

void silence_detector::record_sign_of_life(const target_packet& packet,
                                           evidence_pool& pool, instant now)
{
    std::optional<instant> sent_at;
    if (!is_established(packet.flow))
    {
        sent_at = packet.flow->opened_at;
    }
    else if (packet.step.answered_after)
    {
        sent_at = packet.flow->request.sent_at;
    }
    targets_.record_sign_of_life(packet.target.id, packet.target.data_centre,
                                 sent_at, now);
    pool.clear_own(packet.target, evidence_kind::silence, now);
}

std::optional<silence_details>
silence_detector::judge_repeat(const target_packet& packet,
                               candidate_source& source,
                               const evidence_pool& pool, instant now) const
{
    if (!packet.reference.terms.idempotent)
    {
        return std::nullopt;
    }
    const view_target& target = packet.target;
    const own_silence own = targets_.evidence_of(target.id, packet.key, now);
    const evidence_summary peers =
        pool.evidence_of(target, evidence_kind::silence, now);
    const auto rule =
        rule_of({.withdrawn = target.standing == target_standing::withdrawn,
                 .own = own,
                 .peers = peers,
                 .other = find_alternative(packet, source, now)});
    if (!rule)
    {
        return std::nullopt;
    }
    return silence_details{*rule, target.id, own.flow_copies, own.target_copies,
                           peers.reporters};
}

alternative silence_detector::find_alternative(const target_packet& packet,
                                               candidate_source& source,
                                               instant now) const
{
    const instant first_sent = packet.flow->request.sent_at;
    alternative best = alternative::none;
    for (const weighted_service_id& weighted :
         packet.reference.weighted_services)
    {
        alternative found = alternative::none;
        for (const candidate& each :
             source.candidates_of(weighted.service, now))
        {
            const target_id id = packet.view.parts().targets[each.index].id;
            if (id != packet.target.id && each.trust == target_trust::trusted)
            {
                found = std::max(found, targets_.is_alive_since(id, first_sent)
                                            ? alternative::alive
                                            : alternative::trusted);
            }
        }
        // The caller's next flow may be opened at any of the services.
        if (found == alternative::none)
        {
            return found;
        }
        best = std::max(best, found);
    }
    return best;
}

void silence_detector::record_unanswered_opening(const view_target& target,
                                                 instant sent_at,
                                                 evidence_pool& pool,
                                                 instant now)
{
    targets_.record_unanswered_opening(target.id, now);
    report_own(target, sent_at - opening_proof_age, pool, now);
}

bool silence_detector::is_silent(const view_target& target,
                                 const evidence_pool& pool, instant now) const
{
    return targets_.evidence_of(target.id, {}, now).target_copies >=
               fatal_copies ||
           is_reported_silent(
               pool.evidence_of(target, evidence_kind::silence, now));
}

void silence_detector::report_own(const view_target& target,
                                  instant proof_since, evidence_pool& pool,
                                  instant now) const
{
    const own_silence own = targets_.evidence_of(target.id, {}, now);
    const std::uint32_t count = own.target_copies + own.openings;
    if (count > 0 && targets_.is_reachable(target.data_centre, proof_since))
    {
        pool.record_own(target, evidence_kind::silence, count, now);
    }
}

void silence_detector::discard_old(instant now)
{
    targets_.discard_old(now);
}

} // namespace catkinkeel::steering
