#include "catkinkeel/steering/cost_admission.hpp"
#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

constexpr service_id service{0};
const endpoint urgent = address(1, 443);
const endpoint routine = address(1, 444);
constexpr request_terms urgent_terms{false, 0, 400ms, 3s};
constexpr request_terms routine_terms{true, 1, 400ms, 2500ms};

std::shared_ptr<const steering_view>
make_view(const request_terms& of_urgent = urgent_terms,
          const request_terms& of_routine = routine_terms)
{
    published_configuration configuration =
        sample_configuration(1, {{443, "desk"}, {444, "desk"}});
    configuration.references[0].terms = of_urgent;
    configuration.references[1].terms = of_routine;
    catalog entries(catalog_settings{});
    entries.apply({false,
                   1,
                   {configuration_published{configuration},
                    target_announced{sample_target("t", "desk", "a", 9)}}},
                  at(0s));
    return std::make_shared<const steering_view>(entries.make_view());
}

/// Requests of one reference: work and rate without a surge.
struct request_kind
{
    endpoint reference;
    request_terms terms;
    duration work;
    double rate;
};
/// They use 0.6 of the capacity of the model's targets.
const std::array kinds{request_kind{urgent, urgent_terms, 61ms, 70},
                       request_kind{routine, routine_terms, 47ms, 210}};

/// What happens from 10 to 16 s after the start.
struct trouble
{
    /// Factors of the rates of `kinds`.
    std::array<double, 2> rate{1, 1};
    std::uint32_t targets = 12;
    double slowness = 1;
    std::size_t slow_targets = 12;
    /// The openings of the 2 s before come all at once.
    bool herd = false;
    std::size_t daemons = 12;
};

/// Shares of the requests of each kind, and the value of all answers as a part
/// of that of answers in time: 2 for an urgent request, 1 for a routine one,
/// and 0.3 of it if it is late.
enum share : std::size_t
{
    urgent_in_time,
    urgent_late,
    urgent_refused,
    routine_in_time,
    routine_late,
    routine_refused,
    value
};
using shares = std::array<double, value + 1>;

duration seconds(double count)
{
    return duration(static_cast<std::int64_t>(count * 1e9));
}

/// 12 daemons with 20 requests a second each before 12 targets with 2 slots, a
/// queue of 8 and a shed answer beyond it. Callers repeat an opening after 200
/// and 600 ms, give up at 1.4 s and try twice more.
struct queueing_model
{
    struct request
    {
        std::size_t kind = 0;
        instant created;
        std::uint32_t copy = 0;
        int attempt = 0;
    };
    struct daemon
    {
        cost_admission control{{}, {}};
        std::vector<candidate> targets;
    };

    static bool in_trouble(instant time)
    {
        return time >= at(10s) && time < at(16s);
    }

    /// Returns shares of the requests from 10 s (the herd: 8 s) to 18 s.
    shares run()
    {
        for (daemon& each : daemons)
        {
            each.control.replace_view(*make_view());
            for (std::uint32_t i = 0; i < 12; ++i)
            {
                each.targets.push_back({.index = i, .slots = 2});
            }
        }
        schedule_arrivals(0);
        schedule_arrivals(1);
        for (; !events.empty(); events.erase(events.begin()))
        {
            now = events.begin()->first;
            events.begin()->second();
        }
        const auto& c = counts;
        const double urgent_all =
            c[urgent_in_time] + c[urgent_late] + c[urgent_refused];
        const double routine_all =
            c[routine_in_time] + c[routine_late] + c[routine_refused];
        counts[value] = (2 * (c[urgent_in_time] + 0.3 * c[urgent_late]) +
                         c[routine_in_time] + 0.3 * c[routine_late]) /
                        (2 * urgent_all + routine_all);
        for (std::size_t i = 0; i < value; ++i)
        {
            counts.at(i) /= i < routine_in_time ? urgent_all : routine_all;
        }
        return counts;
    }

    void schedule_arrivals(std::size_t kind)
    {
        for (instant time = at(0s); time < at(18s);)
        {
            const double rate = kinds.at(kind).rate *
                                (in_trouble(time) ? load.rate.at(kind) : 1);
            time += seconds(-std::log(1 - random.unit()) / rate);
            const bool waits = load.herd && time >= at(8s) && time < at(10s);
            const duration waited = waits ? at(10s) - time : 0ms;
            const std::uint32_t copy =
                (waited >= time_passed(1)) + (waited >= time_passed(2));
            open({kind, time, copy}, time + waited);
        }
    }

    void open(const request& next, instant time)
    {
        events.emplace(time, [=, this]
                       { send(next, daemons[random.below(daemons.size())]); });
    }

    void retry(const request& failed, duration delay)
    {
        const auto& [kind, created, copy, attempt] = failed;
        if (attempt == 2 ||
            now + delay - created > kinds.at(kind).terms.timeout)
        {
            return count(failed, urgent_refused);
        }
        open({kind, created, 0, attempt + 1}, now + delay);
    }

    void count(const request& done, share of_urgent)
    {
        counts.at(of_urgent + 3 * done.kind) +=
            done.created >= at(load.herd ? 8s : 10s);
    }

    void send(request next, daemon& from)
    {
        const auto usable =
            std::span(from.targets).first(in_trouble(now) ? load.targets : 12);
        candidate& best = usable[*policy.choose(usable, random)];
        const request_kind& kind = kinds.at(next.kind);
        const admission verdict =
            by_cost ? from.control.decide({service, kind.reference, next.copy},
                                          best, random, now)
                    : admit({}, next.copy, best);
        if (verdict == admission::drop && next.copy < last_retransmission)
        {
            const duration wait = next.copy++ == 0 ? 200ms : 400ms;
            events.emplace(now + wait, [=, this, &from] { send(next, from); });
            return;
        }
        if (verdict != admission::start)
        {
            return retry(next, verdict == admission::drop ? 800ms : 10ms);
        }
        ++best.in_flight;
        auto& ends = targets.at(best.index);
        ends.erase(ends.begin(), ends.upper_bound(now));
        const bool shed = ends.size() == 10;
        instant end = now + 4ms;
        if (!shed)
        {
            // The two latest ends are those of the last requests of each slot.
            end = ends.size() < 2 ? now : *std::prev(ends.end(), 2);
            const bool slow = in_trouble(end) && best.index < load.slow_targets;
            end += seconds(in_seconds(kind.work) * (0.7 + 0.6 * random.unit()) *
                           (slow ? load.slowness : 1));
            ends.insert(end);
        }
        events.emplace(end,
                       [=, this, &from, &best, &kind, started = now]
                       {
                           --best.in_flight;
                           from.control.record_exchange(service, kind.reference,
                                                        now - started, now);
                           shed ? retry(next, 10ms) : finish(next);
                       });
    }

    void finish(const request& done)
    {
        const duration taken = now - done.created;
        const request_terms& terms = kinds.at(done.kind).terms;
        count(done, taken <= terms.latency_goal ? urgent_in_time
                    : taken <= terms.timeout    ? urgent_late
                                                : urgent_refused);
    }

    trouble load;
    bool by_cost;
    std::vector<daemon> daemons{load.daemons};
    /// When the accepted requests of each target end.
    std::array<std::multiset<instant>, 12> targets;
    random_source random{20261206};
    least_cost_policy policy{selection_weights{}};
    std::multimap<instant, std::function<void()>> events;
    instant now;
    shares counts{};
};

} // namespace

TEST_CASE("admission by cost keeps its bounds under each load")
{
    shares before{};
    shares after{};
    const auto play = [&](const trouble& load)
    {
        before = queueing_model{load, false}.run();
        after = queueing_model{load, true}.run();
    };
    // Guards against refusals while there is capacity: a calm service, and one
    // whose targets are all cold.
    play({});
    CHECK(after[urgent_refused] + after[routine_refused] == 0);
    CHECK(after[value] == before[value]);
    play({.slowness = 1 / 0.6});
    CHECK(after[value] > before[value] - 0.03);
    CHECK(after[urgent_in_time] >= before[urgent_in_time]);
    // Guards against urgent requests that are shed like all others when routine
    // ones rise to 2.7 times their rate.
    play({.rate = {1, 2.73}});
    CHECK(after[urgent_refused] < 0.6 * before[urgent_refused]);
    CHECK(after[urgent_late] == 0);
    CHECK(after[value] > before[value] - 0.01);
    // Guards against starving the rest past its timeout when urgent requests
    // need nearly all capacity.
    play({.rate = {5, 1}});
    CHECK(after[urgent_in_time] > 1.1 * before[urgent_in_time]);
    CHECK(after[routine_in_time] > 0.3);
    CHECK(after[value] > before[value]);
    // Guards against urgent requests lost in proportion to the capacity when
    // half of the targets are gone in a surge.
    play({.rate = {1.7, 1.7}, .targets = 6});
    CHECK(after[urgent_in_time] > 1.3 * before[urgent_in_time]);
    CHECK(after[value] > before[value]);
    // Guards against queues in which every answer is late: all targets are half
    // as fast, or cold in a surge.
    for (const trouble& load :
         {trouble{.slowness = 2}, {.rate = {1.7, 1.7}, .slowness = 1 / 0.6}})
    {
        play(load);
        CAPTURE(load.slowness);
        CHECK(after[urgent_in_time] > 1.5 * before[urgent_in_time]);
        CHECK(after[routine_late] < 0.6 * before[routine_late]);
        CHECK(after[value] > before[value] + 0.08);
    }
    // Guards against a wait of slow targets that refuses requests which the
    // others could answer.
    play({.slowness = 4, .slow_targets = 6});
    CHECK(after[value] > before[value] - 0.01);
    // Guards against urgent requests that are refused like all others when all
    // targets are four times slower. Even their work alone takes half of the
    // latency goal, so holding back routine requests only helps urgent ones to
    // be served at all.
    play({.slowness = 4});
    CHECK(after[urgent_refused] < 0.6 * before[urgent_refused]);
    CHECK(after[routine_in_time] + after[routine_late] > 0.2);
    // Guards against refusing what piled up in 2 s by what was measured before.
    // One daemon alone admits more than 5 requests a slot, which is more than
    // the targets hold, and some callers use up their retries.
    for (const std::size_t daemons : {1, 12})
    {
        play({.herd = true, .daemons = daemons});
        CAPTURE(daemons);
        CHECK(after[value] > before[value] - 0.01);
        CHECK(after[urgent_refused] <= before[urgent_refused] + 0.02);
    }
}

TEST_CASE("services without different priorities or goals are decided on as "
          "before")
{
    // Guards against a change for services of which operators state nothing.
    const auto view =
        GENERATE(make_view(urgent_terms, {true, 0, 400ms, 2500ms}),
                 make_view({.priority = 0}, {.priority = 1, .timeout = 1s}));
    cost_admission control({}, {});
    control.replace_view(*view);
    random_source random(1);
    for (int i = 0; i < 100; ++i)
    {
        control.record_exchange(service, routine, i < 50 ? 40ms : 2s,
                                at(i * 20ms));
    }
    for (std::uint32_t i = 0; i < 36; ++i)
    {
        const candidate best{.slots = 2, .in_flight = i / 3};
        CHECK(control.decide({service, routine, i % 3}, best, random, at(2s)) ==
              admit({}, i % 3, best));
    }
    CHECK(control.take_changes().empty());
}

TEST_CASE("a new configuration keeps what was measured and ends what it ends")
{
    // Guards against 20 exchanges without control after each of thousands of
    // changes a day, and against a gauge that shows an old level for ever.
    cost_admission control({}, {});
    view_data parts = make_view()->parts();
    control.replace_view(steering_view(parts));
    for (int i = 0; i < 90; ++i)
    {
        control.record_exchange(service, routine, i < 30 ? 40ms : 400ms,
                                at(i * 20ms));
    }
    REQUIRE(control.take_changes().size() == 1);
    const auto reduced = control.reduced_services(at(1800ms));
    REQUIRE(reduced.size() == 1);
    CHECK(reduced[0].level < 0.5);
    parts.version = {2};
    control.replace_view(steering_view(parts));
    CHECK(control.reduced_services(at(1800ms)) == reduced);
    // The limit is 10 requests a slot by the work, and 5 while it is unknown.
    random_source random(1);
    CHECK(control.decide({service, routine}, {.slots = 2, .in_flight = 14},
                         random, at(1800ms)) == admission::start);
    parts.references.pop_back();
    parts.version = {3};
    control.replace_view(steering_view(parts));
    CHECK(control.reduced_services(at(1800ms)).empty());
    const auto changes = control.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].level == 1);
}

TEST_CASE("a steerer holds back and refuses by the exchanges of its flows")
{
    // Guards against measurements that do not reach the decisions.
    steerer steering({.data_centre = "a", .admits_by_cost = true},
                     std::make_shared<least_cost_policy>(selection_weights{}),
                     random_source(1));
    steering.replace_view(make_view());
    std::uint16_t port = 0;
    const auto open = [&](const endpoint& to, instant now)
    {
        const flow_key key{{{0x64400007}, ++port}, to};
        return steering.decide({.key = key, .opens = true}, now).decision;
    };
    const auto exchange = [&](const endpoint& even, const endpoint& odd,
                              instant start, duration period, duration elapsed)
    {
        for (int i = 0; i < 60; ++i, start += period)
        {
            const flow_key key{{{0x64400007}, ++port}, i % 2 == 0 ? even : odd};
            flow_packet packet{
                .key = key, .token = token_of("t"), .segment = {1, 1, 200}};
            steering.decide(packet, start);
            packet.segment = {201, 500, 0};
            packet.finishes = true;
            steering.decide(packet, start + elapsed);
        }
    };
    exchange(urgent, routine, at(0s), 20ms, 40ms);
    CHECK(std::holds_alternative<forward>(open(routine, at(1300ms))));
    const std::uint16_t forwarded = port;
    exchange(urgent, urgent, at(2s), 50ms, 400ms);
    const auto changes = steering.admission_by_cost().take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].level < 1);
    CHECK(changes[0].wait > 180ms); // half of what 400 ms leave after 40 ms
    const steering_decision held_back = refuse{refusal_reason::held_back};
    const steering_decision out_of_time = refuse{refusal_reason::out_of_time};
    // Guards against telling a caller that its request did not run although a
    // target may have got an earlier copy of the opening.
    CHECK_FALSE(steering
                    .decide({.key = {{{0x64400007}, forwarded}, routine},
                             .opens = true,
                             .retransmission = 1},
                            at(5400ms))
                    .decision == held_back);
    int held_back_count = 0;
    for (int i = 0; i < 100; ++i)
    {
        held_back_count += open(routine, at(5400ms)) == held_back;
        CHECK_FALSE(open(urgent, at(5400ms)) == held_back);
    }
    CHECK(held_back_count > 70);
    CHECK(held_back_count < 100);
    exchange(urgent, urgent, at(6s), 10ms, 4s);
    CHECK(open(routine, at(10600ms)) == out_of_time);
    // Without exchanges for 2 s, nothing is known of the present.
    CHECK_FALSE(open(routine, at(13s)) == out_of_time);
    CHECK(steering.admission_by_cost().reduced_services(at(13s))[0].level == 1);
}

TEST_CASE("the estimate of work follows speed within seconds and overload "
          "hardly")
{
    // Guards against minutes of overload that teach that slow is normal, and
    // against a daemon that starts in overload and never learns the work.
    typical_work work;
    instant now = at(0s);
    const auto add =
        [&](const std::vector<duration>& exchanges, duration period, int count)
    {
        for (std::size_t i = 0; i < count * exchanges.size(); ++i)
        {
            now += period;
            work = work.with(exchanges[i % exchanges.size()], now);
        }
    };
    add({200ms}, 50ms, 19);
    CHECK_FALSE(work.value());
    add({200ms}, 50ms, 1);
    CHECK(in_milliseconds(*work.value()) == 200);
    add({40ms}, 50ms, 400);
    CHECK(work.value() < 48ms);
    const duration learnt = *work.value();
    add({400ms}, 200ms, 900);
    CHECK(*work.value() < learnt * 6 / 5);
    // A third of the answers is shed.
    add({4ms, 45ms, 45ms}, 50ms, 200);
    CHECK(*work.value() > 30ms);
}

TEST_CASE("the first estimate of work ignores answers that show no work")
{
    // Guards against an estimate that is far too low: it rises by 6 % a minute
    // at most, so the reference would for long appear to be the densest one and
    // others of more value would be held back for it.
    const duration no_work = GENERATE(0ms, 4ms);
    typical_work work;
    for (int i = 0; i < 50; ++i)
    {
        // More than half of the targets shed load, or packets waited for the
        // daemon and were processed in one batch.
        work = work.with(i % 5 < 2 ? 60ms : no_work, at(i * 50ms));
    }
    REQUIRE(work.value());
    CHECK(*work.value() > 50ms);
}

TEST_CASE("the wait works with 5 exchanges a second, a batch and slow targets")
{
    // Guards against a wait that is that of the last exchange, or of a few slow
    // targets.
    recent_waits waits;
    const auto wait = [&](instant now)
    {
        return waits.percentile(0.4, 500ms, 5, now);
    };
    CHECK(wait(at(0s)) == 0s);
    for (int i = 0; i < 50; ++i)
    {
        waits = waits.with(i % 3 == 0 ? 900ms : 20ms, at(i * 200ms));
        CHECK((i < 2 || wait(at(i * 200ms)) == 20ms));
    }
    for (int i = 0; i < 40; ++i)
    {
        waits = waits.with(300ms, at(10s));
    }
    CHECK(wait(at(10s)) == 300ms);
    CHECK(wait(at(20s)) == 300ms);
}

TEST_CASE("the least dense reference is reduced first, the densest never")
{
    // Guards against a reduction of requests that cost callers more first.
    CHECK(value_density(0, 2, 60ms) > value_density(1, 2, 40ms));
    CHECK(value_density(2, 2, 5ms) > value_density(0, 2, 60ms));
    const auto share_of = [](double level, std::size_t rank)
    {
        return admitted_share(level, rank, 3, 0.1);
    };
    CHECK(share_of(1, 0) == 1);
    CHECK(share_of(0.75, 0) == Approx(0.55));
    CHECK(share_of(0.75, 1) == 1);
    CHECK(share_of(0.25, 0) == Approx(0.1));
    CHECK(share_of(0.25, 1) == Approx(0.55));
    CHECK(share_of(0, 1) == Approx(0.1));
    CHECK(share_of(0, 2) == 1);
    const admission_limits limits = limits_for(50ms, 400ms, {}, {});
    CHECK(limits.max_load_original == Approx(8));
    CHECK(limits.max_load_retransmission == Approx(4));
    CHECK(limits.max_load_last_retransmission == Approx(9));
    CHECK(limits_for(500ms, 400ms, {}, {}).max_load_original == 1);
    CHECK(limits_for(50ms, 0ms, {}, {}) == admission_limits{});
}

TEST_CASE("an opening that a part of the targets can serve is not out of time")
{
    // Guards against refusing all openings because most targets are too slow.
    cost_admission control({}, {});
    published_configuration configuration =
        sample_configuration(1, {{1, "orderdesk"}, {2, "orderdesk"}});
    configuration.references[0].terms = {true, 0, 400ms, 3s};
    configuration.references[1].terms = {true, 1, 400ms, 3s};
    catalog entries(catalog_settings{});
    entries.apply({false, 1, {configuration_published{configuration}}}, at(0s));
    control.replace_view(entries.make_view());
    random_source random(1);
    for (int i = 0; i < 300; ++i)
    {
        const bool slow = i >= 100 && i % 3 != 0;
        control.record_exchange({0}, address(1, 1 + i % 2),
                                slow ? 3200ms : 50ms, at(i * 20ms));
    }
    CHECK(control.decide({{0}, address(1, 1)}, {.slots = 2}, random, at(6s)) ==
          admission::start);
}

TEST_CASE("targets that reject load make a service hold back before the wait "
          "grows")
{
    // Guards against a surge of routine requests that makes targets with short
    // queues reject urgent ones, while the answers that come are quick.
    cost_admission control({}, {});
    published_configuration configuration =
        sample_configuration(1, {{1, "orderdesk"}, {2, "orderdesk"}});
    configuration.references[0].terms = {false, 0, 400ms, 3s};
    configuration.references[1].terms = {true, 1, 400ms, 3s};
    catalog entries(catalog_settings{});
    entries.apply({false, 1, {configuration_published{configuration}}}, at(0s));
    control.replace_view(entries.make_view());
    random_source random(1);
    instant now = at(0s);
    const auto held_back = [&](int rejected_of_20, std::uint16_t port)
    {
        for (int i = 0; i < 400; ++i)
        {
            now += 10ms;
            if (i % 20 < rejected_of_20)
            {
                control.record_rejection({0}, now);
                continue;
            }
            control.record_exchange({0}, address(1, 1 + i % 2), 50ms, now);
        }
        int count = 0;
        for (int i = 0; i < 100; ++i)
        {
            count += control.decide({{0}, address(1, port)}, {.slots = 2},
                                    random, now) == admission::hold_back;
        }
        return count;
    };
    CHECK(held_back(0, 2) == 0);
    CHECK(held_back(8, 2) > 50);
    CHECK(held_back(8, 1) == 0);
    CHECK(held_back(0, 2) == 0);
}
