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

constexpr auto silence = evidence_kind::silence;

view_target target(std::uint64_t identity)
{
    return {.identity = identity, .started_ms = 1000};
}

peer_report report(std::uint32_t reporter, std::uint64_t identity,
                   std::uint32_t count, instant observed_at)
{
    return {address(reporter, 7720),
            {run_of(target(identity)), silence, count, observed_at}};
}

std::uint32_t reporters(const evidence_pool& pool, std::uint64_t identity,
                        instant now)
{
    return pool.evidence_of(target(identity), silence, now).reporters;
}

} // namespace

TEST_CASE("evidence counts for its target's run and kind until it expires")
{
    // Guards against a target that is judged by what its former run did, and
    // against evidence that outlives its fault.
    evidence_pool pool;
    pool.record_own(target(1), silence, 3, at(10s));
    pool.record_peer(report(2, 1, 200, at(10s)), at(10s));
    pool.record_peer(report(3, 1, 1, at(11s)), at(11s));
    // One peer with a large count has no more than `max_count_of_peer`.
    CHECK(pool.evidence_of(target(1), silence, at(12s)) ==
          evidence_summary{3, 3, 2});
    CHECK(pool.evidence_of(target(1), silence, at(12001ms)) ==
          evidence_summary{0, 1, 1});
    CHECK(pool.evidence_of(target(1), evidence_kind::failing_answers,
                           at(11s)) == evidence_summary{});
    view_target restarted = target(1);
    restarted.started_ms = 2000;
    CHECK(pool.evidence_of(restarted, silence, at(11s)) == evidence_summary{});
    // Evidence of the future would count for too long.
    pool.record_peer(report(4, 1, 1, at(15s)), at(11s));
    CHECK(reporters(pool, 1, at(13001ms)) == 0);
}

TEST_CASE("a peer's older report does not replace a newer one")
{
    // Guards against a datagram that was overtaken, and against a withdrawal
    // that is ignored because its time of arrival is a little uncertain.
    evidence_pool pool;
    pool.record_peer(report(2, 1, 1, at(10s)), at(10s));
    pool.record_peer(report(2, 1, 0, at(9s)), at(10s));
    CHECK(reporters(pool, 1, at(10s)) == 1);
    pool.record_peer(report(2, 1, 0, at(9900ms)), at(10s));
    CHECK(reporters(pool, 1, at(10s)) == 0);
    pool.record_peer(report(3, 1, 1, at(7900ms)), at(10s));
    CHECK(reporters(pool, 1, at(9s)) == 0);
}

TEST_CASE("an own observation to the contrary overrules earlier reports")
{
    // Guards against a target that this daemon has seen alive and that reports
    // made before, but received or revived after, take out.
    evidence_pool pool;
    pool.clear_own(target(1), silence, at(10s));
    pool.record_peer(report(2, 1, 1, at(9900ms)), at(10100ms));
    CHECK(reporters(pool, 1, at(10100ms)) == 0);
    pool.record_own(target(1), silence, 1, at(10200ms));
    CHECK(pool.evidence_of(target(1), silence, at(10200ms)) ==
          evidence_summary{1, 0, 0});
    pool.record_peer(report(2, 1, 2, at(10300ms)), at(10300ms));
    CHECK(reporters(pool, 1, at(10300ms)) == 1);
    pool.clear_own(target(1), silence, at(10400ms));
    CHECK(pool.evidence_of(target(1), silence, at(10400ms)) ==
          evidence_summary{});
}

TEST_CASE("peers get each change of own evidence, and every withdrawal")
{
    // Guards against peers that avoid a target for 2 s more because the pool
    // was full when this daemon saw the target alive.
    evidence_pool pool;
    CHECK(pool.take_outgoing().empty());
    pool.clear_own(target(1), silence, at(10s));
    CHECK(pool.take_outgoing().empty());
    pool.record_own(target(1), silence, 1, at(10s));
    pool.record_own(target(1), silence, 2, at(10100ms));
    CHECK(pool.take_outgoing() ==
          std::vector{report(0, 1, 2, at(10100ms)).report});
    pool.clear_own(target(1), silence, at(10200ms));
    for (std::uint64_t identity = 2; identity < 3000; ++identity)
    {
        pool.record_own(target(identity), silence, 1, at(10300ms));
    }
    const auto outgoing = pool.take_outgoing();
    CHECK(outgoing.size() == max_evidence_targets);
    CHECK(std::ranges::count(outgoing, report(0, 1, 0, at(10200ms)).report) ==
          1);
    CHECK(pool.take_outgoing().empty());
    // What peers have forgotten by themselves needs no message.
    pool.clear_own(target(2999), silence, at(13s));
    CHECK(pool.take_outgoing().empty());
}

TEST_CASE("a peer that reports very many targets displaces only its own word")
{
    // Guards against a faulty daemon that makes all others forget the targets
    // which are really dead.
    evidence_pool pool;
    pool.record_own(target(1), silence, 1, at(10s));
    pool.record_peer(report(2, 2, 1, at(10s)), at(10s));
    pool.record_peer(report(3, 2, 1, at(10s)), at(10s));
    pool.record_peer(report(3, 3, 1, at(10s)), at(10s));
    for (std::uint64_t identity = 4; identity < 5000; ++identity)
    {
        pool.record_peer(report(9, identity, 1, at(11s)), at(11s));
    }
    CHECK(pool.evidence_of(target(1), silence, at(11s)).own_count == 1);
    CHECK(reporters(pool, 2, at(11s)) == 2);
    CHECK(reporters(pool, 3, at(11s)) == 1);
    CHECK(reporters(pool, 4999, at(11s)) == 1);
    // Expired evidence makes room first.
    pool.record_peer(report(2, 5000, 1, at(14s)), at(14s));
    CHECK(reporters(pool, 4999, at(12s)) == 0);
}

TEST_CASE("a target has the latest sixteen reporters")
{
    // Guards against unbounded memory, and against a late report that displaces
    // a newer one.
    evidence_pool pool;
    constexpr std::uint32_t count = max_target_reporters;
    for (std::uint32_t reporter = 1; reporter <= count + 1; ++reporter)
    {
        pool.record_peer(report(reporter, 1, 1, at(10s + reporter * 10ms)),
                         at(11s));
    }
    pool.record_peer(report(99, 1, 1, at(10s)), at(11s));
    CHECK(reporters(pool, 1, at(11s)) == count);
    // The report of the first one, at 10.01 s, has been dropped.
    CHECK(reporters(pool, 1, at(12010ms)) == count);
    CHECK(reporters(pool, 1, at(12020ms)) == count);
    CHECK(reporters(pool, 1, at(12021ms)) == count - 1);
}
