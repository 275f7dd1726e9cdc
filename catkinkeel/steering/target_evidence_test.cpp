// Tests of the evidence that daemons keep about targets that may be faulty.

#include "catkinkeel/steering/steering_samples.hpp"
#include "catkinkeel/steering/target_evidence.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

view_target target(std::uint64_t identity)
{
    return {.identity = identity, .started_ms = 1000};
}

target_report report(std::uint64_t identity, std::uint32_t count,
                     instant observed_at)
{
    return {run_of(target(identity)), evidence_kind::silence, count,
            observed_at};
}

/// A pool of evidence for silence, with the reports of peers by their number.
struct silence_pool : evidence_pool
{
    void own(std::uint64_t identity, std::uint32_t count, instant now)
    {
        record_own(target(identity), evidence_kind::silence, count, now);
    }
    void clear(std::uint64_t identity, instant now)
    {
        clear_own(target(identity), evidence_kind::silence, now);
    }
    void peer(std::uint32_t reporter, const target_report& report, instant now)
    {
        record_peer({address(reporter, 7720), report}, now);
    }
    [[nodiscard]] evidence_summary found(std::uint64_t identity,
                                         instant now) const
    {
        return evidence_of(target(identity), evidence_kind::silence, now);
    }
};

} // namespace

TEST_CASE("evidence counts for its target's run and kind until it expires")
{
    // Guards against a target that is judged by what its former run did, and
    // against evidence that outlives its fault.
    silence_pool pool;
    pool.own(1, 3, at(10s));
    pool.peer(2, report(1, 200, at(10s)), at(10s));
    pool.peer(3, report(1, 1, at(11s)), at(11s));
    // A peer with a large count has no more than `max_count_of_peer`.
    CHECK(pool.found(1, at(12s)) == evidence_summary{3, 3, 2});
    CHECK(pool.found(1, at(12001ms)) == evidence_summary{0, 1, 1});
    const auto failing = evidence_kind::failing_answers;
    CHECK(pool.evidence_of(target(1), failing, at(11s)) == evidence_summary{});
    view_target restarted = target(1);
    restarted.started_ms = 2000;
    CHECK(pool.evidence_of(restarted, evidence_kind::silence, at(11s)) ==
          evidence_summary{});
    // Evidence of the future would count for too long.
    pool.peer(4, report(1, 1, at(15s)), at(11s));
    CHECK(pool.found(1, at(13001ms)).reporters == 0);
}

TEST_CASE("a peer's older report does not replace a newer one")
{
    // Guards against a datagram that was overtaken, and against a withdrawal
    // that is ignored because its time of arrival is a little uncertain.
    silence_pool pool;
    pool.peer(2, report(1, 1, at(10s)), at(10s));
    pool.peer(2, report(1, 0, at(9s)), at(10s));
    CHECK(pool.found(1, at(10s)).reporters == 1);
    pool.peer(2, report(1, 0, at(9900ms)), at(10s));
    CHECK(pool.found(1, at(10s)).reporters == 0);
    pool.peer(3, report(1, 1, at(7900ms)), at(10s));
    CHECK(pool.found(1, at(9s)).reporters == 0);
}

TEST_CASE("an own observation to the contrary overrules earlier reports")
{
    // Guards against a target that this daemon has seen alive and that reports
    // made before, but received or revived after, take out.
    silence_pool pool;
    pool.clear(1, at(10s));
    pool.peer(2, report(1, 1, at(9900ms)), at(10100ms));
    CHECK(pool.found(1, at(10100ms)).reporters == 0);
    pool.own(1, 1, at(10200ms));
    CHECK(pool.found(1, at(10200ms)) == evidence_summary{1, 0, 0});
    pool.peer(2, report(1, 2, at(10300ms)), at(10300ms));
    CHECK(pool.found(1, at(10300ms)).reporters == 1);
    pool.clear(1, at(10400ms));
    CHECK(pool.found(1, at(10400ms)) == evidence_summary{});
}

TEST_CASE("peers get each change of own evidence, and every withdrawal")
{
    // Guards against peers that avoid a target for 2 s more because the pool
    // was full when this daemon saw the target alive.
    silence_pool pool;
    pool.clear(1, at(10s));
    CHECK(pool.take_outgoing().empty());
    pool.own(1, 1, at(10s));
    pool.own(1, 2, at(10100ms));
    CHECK(pool.take_outgoing() == std::vector{report(1, 2, at(10100ms))});
    pool.clear(1, at(10200ms));
    for (std::uint64_t identity = 2; identity < 3000; ++identity)
    {
        pool.own(identity, 1, at(10300ms));
    }
    const auto outgoing = pool.take_outgoing();
    CHECK(outgoing.size() == max_evidence_targets);
    CHECK(std::ranges::count(outgoing, report(1, 0, at(10200ms))) == 1);
    CHECK(pool.take_outgoing().empty());
    // What peers have forgotten by themselves needs no message.
    pool.clear(2999, at(13s));
    CHECK(pool.take_outgoing().empty());
}

TEST_CASE("a peer that reports very many targets displaces only its own word")
{
    // Guards against a faulty daemon that makes all others forget the targets
    // which are really dead.
    silence_pool pool;
    pool.own(1, 1, at(10s));
    pool.peer(2, report(2, 1, at(10s)), at(10s));
    pool.peer(3, report(2, 1, at(10s)), at(10s));
    pool.peer(3, report(3, 1, at(10s)), at(10s));
    for (std::uint64_t identity = 4; identity < 5000; ++identity)
    {
        pool.peer(9, report(identity, 1, at(11s)), at(11s));
    }
    CHECK(pool.found(1, at(11s)).own_count == 1);
    CHECK(pool.found(2, at(11s)).reporters == 2);
    CHECK(pool.found(3, at(11s)).reporters == 1);
    CHECK(pool.found(4999, at(11s)).reporters == 1);
    // Expired evidence makes room first.
    pool.peer(2, report(5000, 1, at(14s)), at(14s));
    CHECK(pool.found(4999, at(12s)).reporters == 0);
}

TEST_CASE("a target has the latest sixteen reporters")
{
    // Guards against unbounded memory, and against a late report that displaces
    // a newer one.
    silence_pool pool;
    constexpr std::uint32_t count = max_target_reporters;
    for (std::uint32_t reporter = 1; reporter <= count + 1; ++reporter)
    {
        pool.peer(reporter, report(1, 1, at(10s + reporter * 10ms)), at(11s));
    }
    pool.peer(99, report(1, 1, at(10s)), at(11s));
    // The report of the first one, at 10.01 s, has been dropped.
    CHECK(pool.found(1, at(12020ms)).reporters == count);
    CHECK(pool.found(1, at(12021ms)).reporters == count - 1);
}
