#include "catkinkeel/steering/failing_targets.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// One service of ten targets, and what one daemon knows about them.
struct failing_fixture
{
    failing_fixture()
    {
        view_data data{.services = {{"orderdesk"}}};
        for (std::uint32_t i = 1; i <= 10; ++i)
        {
            data.targets.push_back({.id = {i}, .identity = i, .token = {i}});
        }
        view = steering_view(data);
    }

    /// The answer of a target to a request sent `elapsed` before.
    void answer(std::uint32_t index, bool deficient, instant now,
                duration elapsed = 1ms)
    {
        failing.record_answer(view.parts().targets[index],
                              deficient ? answer_verdict::deficient
                                        : answer_verdict::usual,
                              now - elapsed, now, pool);
    }

    void report(std::uint32_t reporter, std::uint32_t index, instant now)
    {
        pool.record_peer({address(reporter, 1),
                          {run_of(view.parts().targets[index]),
                           evidence_kind::failing_answers, 1, now}},
                         now);
    }

    /// All candidates but the first four stand for `represented` targets each.
    target_trust trust(std::uint32_t index, instant now, bool idempotent = true,
                       double represented = 1)
    {
        std::vector<candidate> candidates(10);
        for (std::uint32_t i = 0; i < 10; ++i)
        {
            candidates[i].index = i;
            candidates[i].represents = i < 4 ? 1 : represented;
        }
        failing.adjust_trust(candidates, {view, {}, idempotent}, now, pool);
        return candidates[index].trust;
    }

    steering_view view;
    failing_targets failing;
    evidence_pool pool;
};

} // namespace

TEST_CASE("two observations within two seconds make a suspicion")
{
    // Guards against taking a target out for one observation, on the word of
    // one daemon, or against own usual answers; against suspicions of more than
    // a third of a service; and against state that outlives its target.
    failing_fixture daemon;
    daemon.answer(0, true, at(1s));
    daemon.answer(1, true, at(1s));
    for (const auto& [reporter, index] :
         {std::pair{1, 1}, {1, 2}, {2, 2}, {1, 3}, {1, 4}})
    {
        daemon.report(reporter, index, at(1s));
    }
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        daemon.answer(4, false, at(1010ms));
    }
    daemon.report(2, 4, at(1005ms));
    const std::array avoided{false, true, true, false, false};
    for (std::uint32_t i = 0; i < avoided.size(); ++i)
    {
        CHECK((daemon.trust(i, at(1020ms)) == target_trust::avoided) ==
              avoided[i]);
    }
    CHECK(daemon.failing.take_changes()[1].evidence ==
          evidence_summary{0, 2, 2});
    daemon.answer(0, true, at(3100ms));
    CHECK(daemon.trust(0, at(3100ms)) == target_trust::trusted);
    // One that fails half of its requests.
    daemon.answer(0, false, at(3150ms));
    daemon.answer(0, true, at(3200ms));
    CHECK(daemon.trust(0, at(3200ms)) == target_trust::avoided);
    CHECK(daemon.failing.suspected_count() == 3);
    daemon.report(1, 5, at(3200ms));
    daemon.report(2, 5, at(3200ms));
    daemon.report(3, 5, at(3200ms));
    CHECK(daemon.trust(0, at(3200ms), false) == target_trust::trusted);
    daemon.failing.retain_targets_of(steering_view());
    CHECK(daemon.failing.suspected_count() == 0);
}

TEST_CASE("a suspected target is tried by one idempotent request at a time")
{
    // Guards against bookings lost to trials, trials at a fixed pace of a
    // target that goes on failing, and a lost trial that ends all others.
    failing_fixture daemon;
    daemon.answer(0, true, at(1s));
    daemon.answer(0, true, at(1s));
    instant due = at(1s);
    for (const duration period : {2s, 4s, 8s, 8s})
    {
        CHECK(daemon.trust(0, due + period - 1ms) == target_trust::avoided);
        due += period + 1ms;
        CHECK(daemon.trust(0, due, false) == target_trust::avoided);
        CHECK(daemon.trust(0, due) == target_trust::on_trial);
        // At low load, an idle target would always be preferred to a trial.
        CHECK(daemon.trust(0, due + 1s) == target_trust::trusted);
        daemon.failing.opening_sent(daemon.view.parts().targets[0].id, due);
        CHECK(daemon.trust(0, due + 2999ms) == target_trust::avoided);
        CHECK(daemon.trust(0, due + 3s) == target_trust::trusted);
        due += 3s;
        daemon.answer(0, true, due);
    }
    due += 8s;
    // An answer to a request of the avoid period is no answer to the trial.
    daemon.answer(0, false, due + 10ms, 20ms);
    CHECK(daemon.trust(0, due + 10ms, false) == target_trust::avoided);
    daemon.answer(0, false, due + 50ms);
    CHECK(daemon.trust(0, due + 50ms, false) == target_trust::trusted);
    CHECK(daemon.failing.take_changes().back().cause ==
          suspicion_cause::trial_answered);
    // Peers are not told of the failures before it, which have expired.
    CHECK(daemon.pool.take_outgoing().empty());
}

TEST_CASE("a suspicion expires though no new flow assesses its target")
{
    // Guards against a count of suspected targets that stays for ever when a
    // service has no flows any more.
    failing_fixture daemon;
    daemon.answer(0, true, at(1s));
    daemon.answer(0, true, at(1s));
    daemon.report(1, 1, at(1s));
    daemon.report(2, 1, at(1s));
    daemon.trust(1, at(1s));
    const auto suspected = [&](instant now)
    {
        daemon.failing.end_expired(daemon.view, now, daemon.pool);
        return daemon.failing.suspected_count();
    };
    daemon.report(1, 1, at(12s));
    daemon.report(2, 1, at(12s));
    CHECK(suspected(at(13s)) == 2);
    // At most one search a second.
    CHECK(suspected(at(13500ms)) == 2);
    // Target 1 is still reported.
    CHECK(suspected(at(14s)) == 1);
    CHECK(daemon.failing.take_changes().back().cause ==
          suspicion_cause::expired);
    CHECK(suspected(at(15s)) == 0);
    CHECK(daemon.trust(1, at(15s)) == target_trust::trusted);
}

TEST_CASE("a candidate of a sample counts as the targets for which it stands")
{
    // Guards against ignoring the suspicions when all targets of the own data
    // centre fail, which are most candidates of a large service.
    failing_fixture daemon;
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        daemon.report(1, i, at(1s));
        daemon.report(2, i, at(1s));
    }
    CHECK(daemon.trust(0, at(1s), true, 10) == target_trust::avoided);
    CHECK(daemon.trust(0, at(1s), true, 1) == target_trust::trusted);
}
