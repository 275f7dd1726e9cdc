#include "catkinkeel/steering/failing_targets.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

/// One service of ten targets, and what one daemon knows about them.
class failing_fixture
{
public:
    failing_fixture()
    {
        view_data data{.services = {{"orderdesk"}}};
        for (std::uint32_t i = 0; i < 10; ++i)
        {
            data.targets.push_back({.id = {i + 1},
                                    .name = "t" + std::to_string(i),
                                    .identity = i + 1,
                                    .token = {i + 1}});
        }
        view_ = steering_view(data);
    }

    [[nodiscard]] const view_target& target(std::uint32_t index) const
    {
        return view_.parts().targets.at(index);
    }

    /// The answer of a target to a request sent 1 ms before.
    void answer(std::uint32_t index, bool deficient, instant now)
    {
        failing.record_answer(target(index),
                              deficient ? answer_verdict::deficient
                                        : answer_verdict::usual,
                              now - 1ms, now, pool);
    }

    void report(std::uint32_t reporter, std::uint32_t index, instant now)
    {
        pool.record_peer(
            {address(reporter, 1),
             {run_of(target(index)), evidence_kind::failing_answers, 1, now}},
            now);
    }

    target_trust trust(std::uint32_t index, instant now, bool idempotent = true)
    {
        std::vector<candidate> candidates(10);
        for (std::uint32_t i = 0; i < 10; ++i)
        {
            candidates[i].index = i;
        }
        failing.adjust_trust(candidates, {view_, {}, idempotent}, now, pool);
        return candidates[index].trust;
    }

    failing_targets failing;
    evidence_pool pool;

private:
    steering_view view_;
};

} // namespace

TEST_CASE("own deficient answers and peers' reports together make a suspicion")
{
    // Guards against taking a target out for one observation, on the word of
    // one daemon, or for observations that are far apart.
    failing_fixture daemon;
    daemon.answer(0, true, at(1s));
    daemon.answer(1, true, at(1s));
    daemon.report(1, 1, at(1s));
    daemon.report(1, 2, at(1s));
    daemon.report(2, 2, at(1s));
    daemon.report(1, 3, at(1s));
    CHECK(daemon.trust(0, at(1s)) == target_trust::trusted);
    CHECK(daemon.trust(1, at(1s)) == target_trust::avoided);
    CHECK(daemon.trust(2, at(1s)) == target_trust::avoided);
    CHECK(daemon.trust(3, at(1s)) == target_trust::trusted);
    daemon.answer(0, true, at(3100ms));
    CHECK(daemon.trust(0, at(3100ms)) == target_trust::trusted);
    daemon.answer(0, true, at(3200ms));
    CHECK(daemon.trust(0, at(3200ms)) == target_trust::avoided);
    CHECK(daemon.pool.take_outgoing().size() == 2);
    CHECK(daemon.failing.suspected_count() == 3);
    const auto changes = daemon.failing.take_changes();
    REQUIRE(changes.size() == 3);
    CHECK(changes[1] == suspicion_change{"t2", suspicion_cause::evidence,
                                         evidence_summary{0, 2, 2}, at(1s)});
}

TEST_CASE("a target that fails half of its requests is suspected")
{
    // Guards against a usual answer that clears a target at once.
    failing_fixture daemon;
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        daemon.answer(0, i % 2 == 0, at(1s + i * 100ms));
    }
    CHECK(daemon.trust(0, at(1500ms)) == target_trust::avoided);
}

TEST_CASE(
    "targets are not suspected for a share of short answers that all have")
{
    // Guards against losing targets of a service that sends a tenth of short
    // answers, in the time before they are known to be usual.
    failing_fixture daemon;
    std::size_t avoided = 0;
    for (std::uint32_t i = 0; i < 3000; ++i)
    {
        daemon.answer(i % 9, i * 7 % 10 == 3, at(1s + i * 5ms));
        daemon.trust(0, at(1s + i * 5ms));
        avoided += daemon.failing.suspected_count() > 0 ? 1 : 0;
    }
    CHECK(avoided == 0);
}

TEST_CASE("a suspected target is tried by one idempotent request at a time")
{
    // Guards against bookings lost to trials, and against trials at a fixed
    // pace of a target that goes on failing.
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
        CHECK(daemon.trust(0, due + 1s, false) == target_trust::avoided);
        daemon.failing.opening_sent(daemon.target(0).id, due + 1s);
        CHECK(daemon.trust(0, due + 1s) == target_trust::avoided);
        due += 1002ms;
        daemon.answer(0, true, due);
    }
    due += 8s;
    daemon.failing.opening_sent(daemon.target(0).id, due);
    // An answer to a request of the avoid period is no answer to the trial.
    daemon.failing.record_answer(daemon.target(0), answer_verdict::usual,
                                 due - 10ms, due + 10ms, daemon.pool);
    CHECK(daemon.trust(0, due + 10ms, false) == target_trust::avoided);
    daemon.answer(0, false, due + 50ms);
    CHECK(daemon.trust(0, due + 50ms, false) == target_trust::trusted);
    CHECK(daemon.failing.take_changes().back().cause ==
          suspicion_cause::trial_answered);
    // Peers learn it.
    CHECK(daemon.pool.take_outgoing().back().count == 0);
}

TEST_CASE("a trial without an answer does not keep a target out for ever")
{
    // Guards against a lost trial flow.
    failing_fixture daemon;
    daemon.answer(0, true, at(1s));
    daemon.answer(0, true, at(1s));
    daemon.failing.opening_sent(daemon.target(0).id, at(3s));
    CHECK(daemon.trust(0, at(5900ms)) == target_trust::avoided);
    CHECK(daemon.trust(0, at(6s)) == target_trust::trusted);
    CHECK(daemon.trust(0, at(70s), false) == target_trust::trusted);
    CHECK(daemon.failing.suspected_count() == 0);
}

TEST_CASE("suspicions of more than a third of a service are ignored")
{
    // Guards against moving the load of a service that sheds load, or has
    // changed, to the few targets that are left.
    failing_fixture daemon;
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        daemon.report(1, i, at(1s));
        daemon.report(2, i, at(1s));
    }
    CHECK(daemon.trust(0, at(1s)) == target_trust::avoided);
    daemon.report(1, 3, at(1s));
    daemon.report(2, 3, at(1s));
    CHECK(daemon.trust(0, at(1s)) == target_trust::trusted);
    CHECK(daemon.trust(3, at(1s), false) == target_trust::trusted);
}

TEST_CASE("usual answers overrule the reports of peers")
{
    // Guards against peers behind a bad link that take a target out which
    // answers this daemon well.
    failing_fixture daemon;
    daemon.report(1, 0, at(1s));
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        daemon.answer(0, false, at(1100ms + i * 10ms));
    }
    daemon.report(2, 0, at(1050ms));
    CHECK(daemon.trust(0, at(1200ms)) == target_trust::trusted);
}

TEST_CASE("a target that leaves the view is no longer suspected")
{
    // Guards against a gauge and a state that grow with restarts of targets.
    failing_fixture daemon;
    daemon.answer(0, true, at(1s));
    daemon.answer(0, true, at(1s));
    daemon.failing.retain_targets_of(steering_view());
    CHECK(daemon.failing.suspected_count() == 0);
    CHECK(daemon.failing.take_changes().back().cause ==
          suspicion_cause::target_left);
}
