#include "catkinkeel/steering/candidate_sampling.hpp"
#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

constexpr data_centre_id own{5};

/// A daemon in data centre "5" whose only service has `count` targets, the same
/// number in each of 16 data centres.
class daemon_of_large_service
{
public:
    /// `change` adapts each target of the view.
    explicit daemon_of_large_service(std::uint32_t count,
                                     void (*change)(view_target&) = nullptr)
        : steerer_({.data_centre = "5", .limits_late_openings = true},
                   std::make_shared<least_cost_policy>(selection_weights{}),
                   random_source(20261206))
    {
        view_data parts{
            .references = {{.address = address(1, 443),
                            .weighted_services = {{{0}, 1}},
                            .permitted_services = {{0}},
                            .terms = {.latency_goal = 100ms, .timeout = 3s}}},
            .services = {{"orderdesk"}}};
        for (std::uint16_t i = 0; i < 16; ++i)
        {
            parts.data_centres.push_back(std::to_string(i));
        }
        for (std::uint32_t i = 0; i < count; ++i)
        {
            const auto data_centre = static_cast<std::uint16_t>(i % 16);
            parts.targets.push_back({.id = {i},
                                     .token = {i + 1},
                                     .data_centre = {data_centre},
                                     .slots = 2});
            if (change != nullptr)
            {
                change(parts.targets.back());
            }
        }
        steerer_.replace_view(
            std::make_shared<const steering_view>(std::move(parts)));
    }

    /// Opens a flow, and ends it if `answered`.
    steering_result open(instant now, bool answered,
                         std::uint32_t retransmission = 0)
    {
        flow_packet packet{.key = {{{++last_caller_}, 1}, address(1, 443)},
                           .opens = true,
                           .retransmission = retransmission};
        steering_result result = steerer_.decide(packet, now);
        steerer_.record_sent(now);
        if (answered)
        {
            packet.opens = false;
            packet.token = std::get<forward>(result.decision).token;
            packet.aborts = true;
            steerer_.decide(packet, now);
        }
        return result;
    }

    const view_target& target_of(const steering_result& result) const
    {
        return *steerer_.view()->find_target(
            std::get<forward>(result.decision).target);
    }

    /// Opens 400 answered flows and returns how many stay in data centre "5".
    int nearby_of_400()
    {
        int nearby = 0;
        for (int i = 0; i < 400; ++i)
        {
            const auto result = open(at(1s + i * 5ms), true);
            nearby += target_of(result).data_centre == own ? 1 : 0;
        }
        return nearby;
    }

    steerer& steering()
    {
        return steerer_;
    }

private:
    steerer steerer_;
    std::uint32_t last_caller_ = 0;
};

} // namespace

TEST_CASE("samples have distinct positions of both groups")
{
    // Guards against comparing a target twice, and against a small group of
    // which only a part is compared.
    random_source random(1);
    candidate_sampler sampler;
    const auto [sizes, expected] =
        GENERATE(std::pair{group_sizes{1500, 22500}, group_sizes{96, 32}},
                 std::pair{group_sizes{50, 22500}, group_sizes{50, 78}},
                 std::pair{group_sizes{300, 5}, group_sizes{123, 5}},
                 std::pair{group_sizes{0, 300}, group_sizes{0, 128}},
                 std::pair{group_sizes{60, 10}, group_sizes{60, 10}});
    sampler.begin(sizes);
    std::set<std::uint32_t> positions;
    std::size_t drawn = 0;
    for (int i = 0; i < 2; ++i)
    {
        const auto sample = sampler.draw(random);
        positions.insert(sample.begin(), sample.end());
        drawn += sample.size();
    }
    CHECK(positions.size() == drawn);
    CHECK(*positions.rbegin() < sizes.nearby + sizes.others);
    CHECK(sampler.drawn() == expected);
    const auto first_other =
        positions.lower_bound(static_cast<std::uint32_t>(sizes.nearby));
    CHECK(std::distance(positions.begin(), first_other) ==
          static_cast<std::ptrdiff_t>(expected.nearby));
}

TEST_CASE("each position is drawn equally often")
{
    // Guards against targets of a large service that get more or fewer flows.
    random_source random(2);
    candidate_sampler sampler;
    std::vector<int> counts(100 + 200);
    for (int i = 0; i < 10000; ++i)
    {
        sampler.begin({100, 200});
        for (const std::uint32_t position : sampler.draw(random))
        {
            ++counts[position];
        }
    }
    // Expected: 4,800 and 800, each within five standard deviations.
    const std::span all(counts);
    const auto [least, most] = std::ranges::minmax(all.first(100));
    CHECK((least > 4550 && most < 5050));
    const auto [least_other, most_other] = std::ranges::minmax(all.last(200));
    CHECK((least_other > 660 && most_other < 940));
}

TEST_CASE("the flows of a large service stay in the own data centre")
{
    // Guards against comparing only targets of other data centres. When a
    // random range of 256 targets was compared, 30 of 400 flows stayed if the
    // targets were in the order of their data centres.
    daemon_of_large_service mixed(24000);
    CHECK(mixed.nearby_of_400() == 400);
    daemon_of_large_service ordered(
        24000,
        [](view_target& target) {
            target.data_centre = {
                static_cast<std::uint16_t>(target.id.value / 1500)};
        });
    CHECK(ordered.nearby_of_400() == 400);
}

TEST_CASE("without targets in the own data centre others are compared")
{
    // Guards against refusals, and against small samples.
    daemon_of_large_service daemon(24000,
                                   [](view_target& target)
                                   {
                                       if (target.data_centre == own)
                                       {
                                           target.standing =
                                               target_standing::data_centre_out;
                                       }
                                   });
    const auto result = daemon.open(at(1s), true);
    CHECK(daemon.target_of(result).data_centre != own);
    CHECK(result.selection->candidates == 64);
}

TEST_CASE("a second sample is compared if the first has no good target")
{
    // Guards against opening flows at avoided or cold targets while others are
    // there.
    daemon_of_large_service cold(300,
                                 [](view_target& target)
                                 {
                                     if (target.id.value % 32 != 1)
                                     {
                                         target.cold_until = at(10s);
                                     }
                                 });
    std::set<std::uint32_t> compared;
    for (int i = 0; i < 100; ++i)
    {
        compared.insert(cold.open(at(1s), true).selection->candidates);
    }
    CHECK(compared == std::set<std::uint32_t>{64, 128});
}

TEST_CASE("flows open although all targets are avoided")
{
    // Guards against refusals when all of the sampled targets don't answer.
    daemon_of_large_service daemon(300);
    std::uint32_t most_avoided = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const instant now = at(1s + i * 1ms);
        const auto selection = daemon.open(now, false).selection;
        daemon.steering().process_timeouts(now);
        REQUIRE(selection);
        most_avoided = std::max(most_avoided, selection->avoided);
    }
    CHECK(most_avoided == 128);
}

TEST_CASE("the slots of a large service are estimated from both groups")
{
    // Guards against a limit of late openings that follows the own data centre
    // alone: its 100 targets have 20 slots each, the 1,500 others 1.
    daemon_of_large_service daemon(
        1600, [](view_target& target)
        { target.slots = target.data_centre == own ? 20 : 1; });
    // 3,500 slots, half of them for 100 daemons: 17.5 late requests.
    daemon.steering().set_daemon_count(100);
    int started = 0;
    for (int i = 0; i < 40; ++i)
    {
        started += daemon.open(at(1s), false, 1).selection ? 1 : 0;
    }
    CHECK(started == 17);
}

TEST_CASE("a service of 256 targets is compared as before sampling")
{
    // The choices were made by the code that knew no samples. Guards against
    // other choices, and other random numbers, in small services.
    daemon_of_large_service daemon(256);
    std::vector<std::uint32_t> chosen;
    for (int i = 0; i < 12; ++i)
    {
        const auto result = daemon.open(at(1s), false);
        CHECK(result.selection->candidates == 256);
        chosen.push_back(daemon.target_of(result).id.value);
    }
    CHECK(chosen == std::vector<std::uint32_t>{101, 245, 197, 85, 21, 5, 133,
                                               37, 149, 181, 213, 117});
}
