#include "catkinkeel/steering/late_openings.hpp"
#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

constexpr service_id orders{3};

/// A daemon before four targets of two slots, with a latency goal of 150 ms.
class restarted_daemon
{
public:
    explicit restarted_daemon(bool limits)
        : steerer_({.data_centre = "a", .limits_late_openings = limits},
                   std::make_shared<least_cost_policy>(selection_weights{}),
                   random_source(20261206))
    {
        published_configuration configuration =
            sample_configuration(1, {{443, "orderdesk"}});
        configuration.references[0].terms.latency_goal = 150ms;
        configuration.references[0].terms.timeout = 3s;
        std::vector<metadata_change> changes{
            configuration_published{std::move(configuration)}};
        for (std::uint32_t i = 0; i < 4; ++i)
        {
            changes.emplace_back(target_announced{sample_target(
                "a" + std::to_string(i), "orderdesk", "a", 100 + i)});
        }
        catalog targets(catalog_settings{});
        targets.apply({false, 1, std::move(changes)}, at(0s));
        steerer_.replace_view(
            std::make_shared<const steering_view>(targets.make_view()));
    }

    /// Sends an opening packet; the result is empty if it is not forwarded.
    std::optional<forward> open(std::uint16_t port,
                                std::uint32_t retransmission, instant now)
    {
        const auto decision = steerer_
                                  .decide({.key = key(port),
                                           .opens = true,
                                           .retransmission = retransmission},
                                          now)
                                  .decision;
        steerer_.record_sent(now);
        if (!std::holds_alternative<forward>(decision))
        {
            CHECK(decision ==
                  steering_decision(discard{discard_reason::deferred}));
            return std::nullopt;
        }
        return std::get<forward>(decision);
    }

    void send_data(std::uint16_t port, flow_token token, instant now)
    {
        steerer_.decide(
            {.key = key(port), .token = token, .segment = {.data_bytes = 100}},
            now);
    }

    void abort(std::uint16_t port, flow_token token, instant now)
    {
        steerer_.decide({.key = key(port), .aborts = true, .token = token},
                        now);
    }

    steerer& steering()
    {
        return steerer_;
    }

private:
    static flow_key key(std::uint16_t port)
    {
        return {{{0x64400007}, port}, address(1, 443)};
    }

    steerer steerer_;
};

} // namespace

TEST_CASE("openings that are late and have time left are deferrable")
{
    // Guards against holding back openings that can still be answered in time,
    // and those whose callers have no further attempt.
    CHECK_FALSE(is_deferrable(0, {.latency_goal = 150ms, .timeout = 3s}));
    CHECK(is_deferrable(1, {.latency_goal = 150ms, .timeout = 3s}));
    CHECK(is_deferrable(1, {.latency_goal = 200ms, .timeout = 2200ms}));
    CHECK_FALSE(is_deferrable(1, {.latency_goal = 200ms, .timeout = 2s}));
    CHECK_FALSE(is_deferrable(1, {.latency_goal = 500ms, .timeout = 3s}));
    CHECK(is_deferrable(2, {.latency_goal = 500ms, .timeout = 3s}));
    CHECK_FALSE(is_deferrable(2, {.timeout = 3s}));
    CHECK_FALSE(is_deferrable(2, {.latency_goal = 500ms}));
}

TEST_CASE("late requests use half of the slots over all daemons")
{
    // Guards against a limit that each of many daemons takes for itself.
    late_openings late;
    const late_request first{orders, at(3s)};
    const late_request second{orders, at(4s)};
    CHECK(late.may_start(orders, 59, at(0s)));
    late.request_started(first);
    CHECK_FALSE(late.may_start(orders, 59, at(0s)));
    CHECK(late.may_start(service_id{4}, 59, at(0s)));
    late.set_daemon_count(10);
    CHECK(late.may_start(orders, 59, at(0s)));
    late.request_started(second);
    CHECK_FALSE(late.may_start(orders, 59, at(0s)));
    late.set_daemon_count(1000);
    CHECK_FALSE(late.may_start(orders, 59, at(0s)));
    late.request_ended(first);
    CHECK_FALSE(late.may_start(orders, 59, at(0s)));
    // Its caller has given up by then.
    CHECK(late.may_start(orders, 59, at(4s)));
    late.request_ended(second);
    CHECK(late.may_start(orders, 59, at(0s)));
}

TEST_CASE("openings of an outage leave room for those that can be in time")
{
    // Load: power returns after two seconds, and the callers of the outage
    // return at once. Guards against queues of late requests in front of those
    // that can still be answered in time.
    restarted_daemon daemon(true);
    std::vector<forward> late;
    std::vector<forward> in_time;
    const auto add =
        [](std::vector<forward>& to, const std::optional<forward>& opened)
    {
        if (opened)
        {
            to.push_back(*opened);
        }
    };
    for (std::uint16_t i = 0; i < 20; ++i)
    {
        add(late, daemon.open(100 + i, 1 + i % 2, at(10ms)));
        add(in_time, daemon.open(200 + i, 0, at(10ms)));
    }
    CHECK(late.size() == 1);
    CHECK(in_time.size() == 20);
    // The place of a late request is free again after it has ended.
    daemon.abort(100, late.front().token, at(50ms));
    CHECK(daemon.open(101, 2, at(400ms)));
    CHECK_FALSE(daemon.open(102, 2, at(400ms)));
    // With two daemons, half of the eight slots are two requests for each.
    daemon.steering().set_daemon_count(2);
    CHECK(daemon.open(102, 2, at(400ms)));
    CHECK_FALSE(daemon.open(103, 2, at(400ms)));
}

TEST_CASE("a copy of a forwarded opening is not dropped as late")
{
    // Guards against dropping the copy of an opening that a target may have
    // got, whose caller needs it if the first one was lost.
    restarted_daemon daemon(true);
    REQUIRE(daemon.open(1, 0, at(0s)));
    REQUIRE(daemon.open(2, 2, at(100ms)));
    CHECK(daemon.open(1, 1, at(200ms)));
    // The caller uses the port again for a new flow.
    CHECK_FALSE(daemon.open(1, 2, at(2500ms)));
}

TEST_CASE("a late request keeps its place until it ends")
{
    // Guards against more late requests than the limit while targets answer
    // slowly, and against a place that is never free again.
    restarted_daemon daemon(true);
    const auto late = daemon.open(1, 2, at(0s));
    REQUIRE(late);
    CHECK_FALSE(daemon.open(2, 2, at(50ms)));
    daemon.steering().process_timeouts(at(100ms));
    daemon.send_data(1, late->token, at(110ms));
    CHECK_FALSE(daemon.open(2, 2, at(120ms)));
    // Its caller's timeout is 3 s.
    CHECK(daemon.open(2, 2, at(3s)));
}

TEST_CASE("late openings are not limited unless the settings ask for it")
{
    // Guards against a change of deployments that do not ask for the limit.
    restarted_daemon daemon(false);
    for (std::uint16_t i = 0; i < 8; ++i)
    {
        CHECK(daemon.open(i, 2, at(0s)));
    }
}
