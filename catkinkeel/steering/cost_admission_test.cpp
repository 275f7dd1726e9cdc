#include "catkinkeel/steering/cost_admission.hpp"
#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

constexpr std::uint16_t urgent_port = 443;
constexpr std::uint16_t routine_port = 444;

std::shared_ptr<const steering_view> make_view(const request_terms& urgent,
                                               const request_terms& routine)
{
    published_configuration configuration = sample_configuration(
        1, {{urgent_port, "orderdesk"}, {routine_port, "orderdesk"}});
    configuration.references[0].terms = urgent;
    configuration.references[1].terms = routine;
    catalog entries(catalog_settings{});
    entries.apply({false, 1, {configuration_published{configuration}}}, at(0s));
    return std::make_shared<const steering_view>(entries.make_view());
}

constexpr request_terms urgent_terms{false, 0, 400ms, 3s};
constexpr request_terms routine_terms{true, 1, 400ms, 2500ms};

/// Requests of one reference: work and rate without a surge.
struct request_kind
{
    std::uint16_t port;
    request_terms terms;
    duration work;
    double rate;
};
/// They use 0.6 of the capacity of the model's targets.
constexpr std::array kinds{
    request_kind{urgent_port, urgent_terms, 61ms, 70},
    request_kind{routine_port, routine_terms, 47ms, 210},
};

/// What happens from 10 to 16 s after the start.
struct trouble
{
    /// Factors of the rates of `kinds`.
    std::array<double, 2> rate{1, 1};
    std::size_t targets = 12;
    double slowness = 1;
    /// Number of targets that are slow.
    std::size_t slow_targets = 12;
    /// The openings of the 2 s before come all at once.
    bool herd = false;
    std::size_t daemons = 12;
};

struct results
{
    int in_time = 0;
    int late = 0;
    int refused = 0;

    [[nodiscard]] double all() const
    {
        return in_time + late + refused;
    }
};

/// 12 daemons with 20 requests a second each before 12 targets with 2 slots, a
/// queue of 8 and a shed answer beyond it. Callers repeat an opening after 200
/// and 600 ms, give up at 1.4 s and try twice more.
class queueing_model
{
public:
    queueing_model(trouble what, bool by_cost)
        : trouble_(what),
          by_cost_(by_cost),
          targets_(12),
          daemons_(what.daemons)
    {
        const auto view = make_view(urgent_terms, routine_terms);
        for (daemon& each : daemons_)
        {
            each.control.replace_view(*view);
        }
    }

    /// Results of the requests from 10 s (the herd: 8 s) to 18 s, by kind.
    std::array<results, 2> run()
    {
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        {
            schedule_arrivals(kind);
        }
        while (!events_.empty())
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        return results_;
    }

private:
    struct request
    {
        std::size_t kind = 0;
        instant created;
        int attempt = 0;
        std::uint32_t copy = 0;
        std::size_t daemon = 0;
        std::size_t target = 0;
        instant started;
    };
    struct daemon
    {
        cost_admission control{{}, {}};
        std::array<std::uint32_t, 12> in_flight{};
    };
    struct target
    {
        int busy = 0;
        std::deque<request> queue;
    };
    struct event
    {
        instant time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    [[nodiscard]] bool in_trouble() const
    {
        return now_ >= at(10s) && now_ < at(16s);
    }

    void schedule(instant time, std::function<void()> run)
    {
        events_.push({time, ++order_, std::move(run)});
    }

    void schedule_arrivals(std::size_t kind)
    {
        for (instant time = at(0s); time < at(18s);)
        {
            const bool surge = time >= at(10s) && time < at(16s);
            const double rate =
                kinds.at(kind).rate * (surge ? trouble_.rate.at(kind) : 1);
            time += duration(static_cast<std::int64_t>(
                -std::log(1 - random_.unit()) / rate * 1e9));
            const bool waits =
                trouble_.herd && time >= at(8s) && time < at(10s);
            const duration waited = waits ? at(10s) - time : 0ms;
            const std::uint32_t copy = waited >= time_passed(2)   ? 2
                                       : waited >= time_passed(1) ? 1
                                                                  : 0;
            schedule(time + waited, [=, this] { open({kind, time}, copy); });
        }
    }

    void count(const request& done, int results::*field)
    {
        if (done.created >= at(trouble_.herd ? 8s : 10s))
        {
            ++(results_.at(done.kind).*field);
        }
    }

    void open(request next, std::uint32_t copy)
    {
        next.copy = copy;
        next.daemon = random_.below(daemons_.size());
        send(next);
    }

    void retry(request failed, duration delay)
    {
        if (++failed.attempt > 2 ||
            now_ + delay - failed.created > kinds.at(failed.kind).terms.timeout)
        {
            return count(failed, &results::refused);
        }
        schedule(now_ + delay, [=, this] { open(failed, 0); });
    }

    void send(request next)
    {
        daemon& at_daemon = daemons_[next.daemon];
        std::vector<candidate> candidates;
        const std::size_t usable =
            in_trouble() ? trouble_.targets : targets_.size();
        for (std::uint32_t i = 0; i < usable; ++i)
        {
            candidates.push_back({.index = i,
                                  .slots = 2,
                                  .in_flight = at_daemon.in_flight.at(i)});
        }
        next.target = *policy_.choose(candidates, random_);
        const candidate& best = candidates[next.target];
        const service_opening opening{
            {0}, address(1, kinds.at(next.kind).port), next.copy};
        const admission verdict =
            by_cost_ ? at_daemon.control.decide(opening, best, random_, now_)
                     : admit({}, next.copy, best);
        if (verdict == admission::start)
        {
            ++at_daemon.in_flight.at(next.target);
            next.started = now_;
            return offer(next);
        }
        if (verdict != admission::drop)
        {
            return retry(next, 10ms);
        }
        if (next.copy == last_retransmission)
        {
            return retry(next, 800ms);
        }
        const duration wait = next.copy == 0 ? 200ms : 400ms;
        ++next.copy;
        schedule(now_ + wait, [=, this] { send(next); });
    }

    void offer(const request& next)
    {
        target& at_target = targets_[next.target];
        if (at_target.busy < 2)
        {
            ++at_target.busy;
            work(next);
        }
        else if (at_target.queue.size() < 8)
        {
            at_target.queue.push_back(next);
        }
        else
        {
            schedule(now_ + 4ms,
                     [=, this]
                     {
                         answered(next);
                         retry(next, 10ms);
                     });
        }
    }

    void work(const request& next)
    {
        const bool slow = in_trouble() && next.target < trouble_.slow_targets;
        const double factor =
            (0.7 + 0.6 * random_.unit()) * (slow ? trouble_.slowness : 1);
        const duration time(static_cast<std::int64_t>(
            in_seconds(kinds.at(next.kind).work) * factor * 1e9));
        schedule(now_ + time, [=, this] { finish(next); });
    }

    void finish(const request& done)
    {
        target& at_target = targets_[done.target];
        --at_target.busy;
        if (!at_target.queue.empty())
        {
            ++at_target.busy;
            work(at_target.queue.front());
            at_target.queue.pop_front();
        }
        answered(done);
        const duration taken = now_ - done.created;
        const request_terms& terms = kinds.at(done.kind).terms;
        count(done, taken <= terms.latency_goal ? &results::in_time
                    : taken <= terms.timeout    ? &results::late
                                                : &results::refused);
    }

    void answered(const request& done)
    {
        daemon& at_daemon = daemons_[done.daemon];
        auto& in_flight = at_daemon.in_flight.at(done.target);
        in_flight -= in_flight > 0 ? 1 : 0;
        at_daemon.control.record_exchange({0},
                                          address(1, kinds.at(done.kind).port),
                                          now_ - done.started, now_);
    }

    trouble trouble_;
    bool by_cost_;
    std::vector<target> targets_;
    std::vector<daemon> daemons_;
    random_source random_{20261206};
    least_cost_policy policy_{selection_weights{}};
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    instant now_;
    std::array<results, 2> results_;
};

using kind_results = std::array<results, 2>;

/// Value as a part of that of all requests in time: 2 for an urgent request, 1
/// for a routine one, and 0.3 of it if it is late.
double value_of(const kind_results& of)
{
    const auto value = [](const results& each)
    {
        return each.in_time + 0.3 * each.late;
    };
    return (2 * value(of[0]) + value(of[1])) / (2 * of[0].all() + of[1].all());
}

/// What callers get under the constant limits and by cost.
struct comparison
{
    explicit comparison(const trouble& load)
        : before(queueing_model(load, false).run()),
          after(queueing_model(load, true).run()),
          value_before(value_of(before)),
          value_after(value_of(after)),
          text("before " + describe(before) + "; after " + describe(after))
    {
    }

    static std::string describe(const kind_results& of)
    {
        std::string result;
        for (const results& each : of)
        {
            result += std::to_string(each.in_time) + "/" +
                      std::to_string(each.late) + "/" +
                      std::to_string(each.refused) + " ";
        }
        return result + std::to_string(value_of(of));
    }

    kind_results before;
    kind_results after;
    double value_before;
    double value_after;
    std::string text;
};

constexpr service_id service{0};

} // namespace

TEST_CASE("a calm service and one whose targets are all cold hold back little")
{
    // Guards against refusals while there is capacity.
    const comparison calm({});
    CHECK(calm.after[0].refused + calm.after[1].refused == 0);
    CHECK(calm.value_after == calm.value_before);
    const comparison cold({.slowness = 1 / 0.6});
    CAPTURE(cold.text);
    CHECK(cold.value_after > cold.value_before - 0.03);
    CHECK(cold.after[0].in_time >= cold.before[0].in_time);
}

TEST_CASE("a surge of routine requests costs urgent ones little")
{
    // Guards against urgent requests that are shed like all others when routine
    // ones rise to 2.7 times their rate.
    const comparison surge({.rate = {1, 2.73}});
    CAPTURE(surge.text);
    CHECK(surge.after[0].refused < 0.6 * surge.before[0].refused);
    CHECK(surge.after[0].late == 0);
    CHECK(surge.value_after > surge.value_before - 0.01);
}

TEST_CASE("a surge of urgent requests leaves routine ones their share")
{
    // Guards against starving the rest past its timeout when urgent requests
    // need nearly all capacity.
    const comparison surge({.rate = {5, 1}});
    CAPTURE(surge.text);
    CHECK(surge.after[0].in_time > 1.1 * surge.before[0].in_time);
    CHECK(surge.after[1].in_time > 0.3 * surge.after[1].all());
    CHECK(surge.value_after > surge.value_before);
}

TEST_CASE("half of the targets gone in a surge costs routine requests first")
{
    // Guards against urgent requests lost in proportion to the capacity.
    const comparison gone({.rate = {1.7, 1.7}, .targets = 6});
    CAPTURE(gone.text);
    CHECK(gone.after[0].in_time > 1.3 * gone.before[0].in_time);
    CHECK(gone.value_after > gone.value_before);
}

TEST_CASE("slow targets answer what they accept in time")
{
    // Guards against queues in which every answer is late: all targets are half
    // as fast, or cold in a surge.
    for (const trouble& load :
         {trouble{.slowness = 2},
          trouble{.rate = {1.7, 1.7}, .slowness = 1 / 0.6}})
    {
        const comparison slow(load);
        CAPTURE(slow.text);
        CHECK(slow.after[0].in_time > 1.5 * slow.before[0].in_time);
        CHECK(slow.after[1].late < 0.6 * slow.before[1].late);
        CHECK(slow.value_after > slow.value_before + 0.08);
    }
}

TEST_CASE("half of the targets four times slower hold back little")
{
    // Guards against a wait of slow targets that refuses requests which the
    // others could answer.
    const comparison slow({.slowness = 4, .slow_targets = 6});
    CAPTURE(slow.text);
    CHECK(slow.value_after > slow.value_before - 0.01);
}

TEST_CASE("all targets four times slower serve more urgent requests")
{
    // Even their work alone takes half of the latency goal, so holding back
    // routine requests only helps urgent ones to be served at all.
    const comparison slow({.slowness = 4});
    CAPTURE(slow.text);
    CHECK(slow.after[0].refused < 0.6 * slow.before[0].refused);
    CHECK(slow.after[1].in_time + slow.after[1].late >
          0.2 * slow.after[1].all());
}

TEST_CASE("the herd after an outage is served no worse")
{
    // Guards against refusing what piled up in 2 s by what was measured before.
    for (const std::size_t daemons : {1, 12})
    {
        const comparison herd({.herd = true, .daemons = daemons});
        CAPTURE(daemons, herd.text);
        CHECK(herd.value_after > herd.value_before - 0.01);
        // One daemon alone admits more than 5 requests a slot, which is more
        // than the targets hold, and some callers use up their retries.
        CHECK(herd.after[0].refused <=
              herd.before[0].refused + 0.02 * herd.after[0].all());
    }
}

TEST_CASE("services without different priorities or goals are decided on as "
          "before")
{
    // Guards against a change for services of which operators state nothing.
    request_terms same = routine_terms;
    same.priority = urgent_terms.priority;
    for (const auto& view : {make_view(urgent_terms, same),
                             make_view({.priority = 0}, {.priority = 1})})
    {
        cost_admission control({}, {});
        control.replace_view(*view);
        random_source random(1);
        for (int i = 0; i < 100; ++i)
        {
            control.record_exchange(service, address(1, routine_port),
                                    i < 50 ? 40ms : 2s, at(i * 20ms));
        }
        for (std::uint32_t i = 0; i < 36; ++i)
        {
            const candidate best{.slots = 2, .in_flight = i / 3};
            CHECK(control.decide({service, address(1, routine_port), i % 3},
                                 best, random,
                                 at(2s)) == admit({}, i % 3, best));
        }
        CHECK(control.take_changes().empty());
    }
}

TEST_CASE("a new configuration keeps what was measured and ends what it ends")
{
    // Guards against 20 exchanges without control after each of thousands of
    // changes a day, and against a gauge that shows an old level for ever.
    cost_admission control({}, {});
    view_data parts = make_view(urgent_terms, routine_terms)->parts();
    const auto adopt = [&](std::uint64_t version)
    {
        parts.version = {version};
        control.replace_view(steering_view(parts));
    };
    adopt(1);
    for (int i = 0; i < 90; ++i)
    {
        control.record_exchange(service, address(1, routine_port),
                                i < 30 ? 40ms : 400ms, at(i * 20ms));
    }
    REQUIRE(control.take_changes().size() == 1);
    const auto reduced = control.reduced_services(at(1800ms));
    REQUIRE(reduced.size() == 1);
    CHECK(reduced[0].level < 0.5);
    adopt(2);
    CHECK(control.reduced_services(at(1800ms)) == reduced);
    parts.references.pop_back();
    adopt(3);
    CHECK(control.reduced_services(at(1800ms)).empty());
    const auto changes = control.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].level == 1);
}

TEST_CASE("a steerer holds back and refuses by the exchanges of its flows")
{
    // Guards against measurements that do not reach the decisions.
    catalog entries(catalog_settings{});
    published_configuration configuration = sample_configuration(
        2, {{urgent_port, "orderdesk"}, {routine_port, "orderdesk"}});
    configuration.references[0].terms = urgent_terms;
    configuration.references[1].terms = routine_terms;
    entries.apply({false,
                   1,
                   {configuration_published{configuration},
                    target_announced{sample_target("t", "orderdesk", "a", 9)}}},
                  at(0s));
    steerer steering({.data_centre = "a", .admits_by_cost = true},
                     std::make_shared<least_cost_policy>(selection_weights{}),
                     random_source(1));
    steering.replace_view(
        std::make_shared<const steering_view>(entries.make_view()));
    std::uint16_t port = 0;
    const auto open = [&](std::uint16_t service_port, instant now)
    {
        return steering
            .decide({.key = {{{0x64400007}, ++port}, address(1, service_port)},
                     .opens = true},
                    now)
            .decision;
    };
    const auto exchange =
        [&](std::uint16_t service_port, instant start, duration elapsed)
    {
        flow_packet packet{
            .key = {{{0x64400007}, ++port}, address(1, service_port)},
            .token = token_of("t"),
            .segment = {1, 1, 200}};
        steering.decide(packet, start);
        packet.segment = {201, 500, 0};
        packet.finishes = true;
        steering.decide(packet, start + elapsed);
    };
    for (int i = 0; i < 60; ++i)
    {
        exchange(i % 2 == 0 ? urgent_port : routine_port, at(i * 20ms), 40ms);
    }
    CHECK(std::holds_alternative<forward>(open(routine_port, at(1300ms))));
    const std::uint16_t forwarded = port;
    for (int i = 0; i < 60; ++i)
    {
        exchange(urgent_port, at(2s + i * 50ms), 400ms);
    }
    const auto changes = steering.admission_by_cost().take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].level < 1);
    CHECK(changes[0].wait > 180ms); // half of what 400 ms leave after 40 ms
    // Guards against telling a caller that its request did not run although a
    // target may have got an earlier copy of the opening.
    CHECK_FALSE(
        steering
            .decide(
                {.key = {{{0x64400007}, forwarded}, address(1, routine_port)},
                 .opens = true,
                 .retransmission = 1},
                at(5400ms))
            .decision == steering_decision(refuse{refusal_reason::held_back}));
    int held_back = 0;
    for (int i = 0; i < 100; ++i)
    {
        held_back += open(routine_port, at(5400ms)) ==
                     steering_decision(refuse{refusal_reason::held_back});
        CHECK_FALSE(open(urgent_port, at(5400ms)) ==
                    steering_decision(refuse{refusal_reason::held_back}));
    }
    CHECK(held_back > 70);
    CHECK(held_back < 100);
    for (int i = 0; i < 60; ++i)
    {
        exchange(urgent_port, at(6s + i * 10ms), 4s);
    }
    CHECK(open(routine_port, at(10600ms)) ==
          steering_decision(refuse{refusal_reason::out_of_time}));
    // Without exchanges for 2 s, nothing is known of the present.
    CHECK_FALSE(open(routine_port, at(13s)) ==
                steering_decision(refuse{refusal_reason::out_of_time}));
    CHECK(steering.admission_by_cost().reduced_services(at(13s))[0].level == 1);
}

TEST_CASE("the estimate of work follows speed within seconds and overload "
          "hardly")
{
    // Guards against minutes of overload that teach that slow is normal, and
    // against a daemon that starts in overload and never learns the work.
    typical_work work;
    instant now = at(0s);
    const auto add = [&](duration exchange, duration period, int count)
    {
        for (int i = 0; i < count; ++i)
        {
            now += period;
            work = work.with(exchange, now);
        }
    };
    add(200ms, 50ms, 19);
    CHECK_FALSE(work.value());
    add(200ms, 50ms, 1);
    CHECK(in_milliseconds(*work.value()) == 200);
    add(40ms, 50ms, 400);
    CHECK(work.value() < 48ms);
    const duration learnt = *work.value();
    add(400ms, 200ms, 900);
    CHECK(*work.value() < learnt * 6 / 5);
    // A third of the answers is shed.
    for (int i = 0; i < 200; ++i)
    {
        add(4ms, 50ms, 1);
        add(45ms, 50ms, 2);
    }
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
    CHECK(value_density(0, 2, 60ms) > value_density(1, 2, 40ms));
    CHECK(value_density(2, 2, 5ms) > value_density(0, 2, 60ms));
    const auto share = [](double level, std::size_t rank)
    {
        return admitted_share(level, rank, 3, 0.1);
    };
    CHECK(share(1, 0) == 1);
    CHECK(share(0.75, 0) == Approx(0.55));
    CHECK(share(0.75, 1) == 1);
    CHECK(share(0.25, 0) == Approx(0.1));
    CHECK(share(0.25, 1) == Approx(0.55));
    CHECK(share(0, 1) == Approx(0.1));
    CHECK(share(0, 2) == 1);
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
