// Measures the time of one balancing decision. The baseline, measured in the
// same run, is one lookup in a std::unordered_map with the same number of
// flows. Flows are visited in random order, so that lookups miss the CPU caches
// as far as the table is larger than them.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/testing/fake_balancer_group.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "measure/design_size.hpp"

using namespace catkinkeel;

namespace
{

constexpr instant start_time{1000s};
constexpr std::uint32_t target_count = 24000;

/// Returns random flows that cover all buckets, such as a VM receives that is
/// the only one of its group and so owns every bucket.
std::vector<packet_facts> make_flows(std::size_t count, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<packet_facts> flows;
    for (std::size_t i = 0; i < count; ++i)
    {
        flows.push_back(
            {.key = {{{static_cast<std::uint32_t>(random.next())},
                      static_cast<std::uint16_t>(random.next())},
                     {{capacity::first_public_address + 1 +
                       static_cast<std::uint32_t>(random.below(
                           capacity::reference_count_for(target_count)))},
                      443},
                     protocol::tcp},
             .phase = flow_phase::opening});
    }
    return flows;
}

void shuffle(std::vector<packet_facts>& flows)
{
    random_source random(2);
    for (std::size_t i = flows.size(); i > 1; --i)
    {
        std::swap(flows[i - 1], flows[random.below(i)]);
    }
}

class populated_balancer
{
public:
    explicit populated_balancer(std::size_t capacity)
        : core_({.flow_capacity = capacity}, {1}, {1}, 1, admission_limits_)
    {
        const auto set = std::make_shared<const published_set>(
            capacity::make_objects(target_count, 1));
        core_.apply_set(set, core_.make_plan(*set), start_time);
        core_.set_opening_allowed(true);
        core_.apply_view(capacity::make_view(1), start_time);
    }

    balancer& get()
    {
        return core_;
    }

private:
    testing::fake_admission_limits admission_limits_;
    balancer core_;
};

void decide_established(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    populated_balancer populated(count + 1);
    auto flows = make_flows(count, 1);
    for (packet_facts& each : flows)
    {
        populated.get().decide(each, start_time);
        each.phase = flow_phase::established;
    }
    shuffle(flows);
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(
            populated.get().decide(flows[next], start_time));
        next = next + 1 == count ? 0 : next + 1;
    }
    state.counters["flows"] =
        static_cast<double>(populated.get().stats().flows);
}

void look_up_unordered_map(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    std::unordered_map<flow_key, flow_record> map;
    auto flows = make_flows(count, 1);
    for (const packet_facts& each : flows)
    {
        map.emplace(each.key, flow_record{.key = each.key, .target = {1}});
    }
    shuffle(flows);
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(map.find(flows[next].key)->second.target);
        next = next + 1 == count ? 0 : next + 1;
    }
}

void decide_new(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const std::size_t batch = count / 4;
    populated_balancer populated(count + batch + 1);
    for (const packet_facts& each : make_flows(count, 1))
    {
        populated.get().decide(each, start_time);
    }
    const auto new_flows = make_flows(batch, 3);
    std::size_t next = 0;
    instant now = start_time;
    for (auto _ : state)
    {
        if (next == batch)
        {
            // Abort the new flows and let their records expire, with the timer
            // paused.
            state.PauseTiming();
            for (packet_facts each : new_flows)
            {
                each.phase = flow_phase::aborted;
                populated.get().decide(each, now);
            }
            for (const instant expiry_time = now + 15s; now < expiry_time;
                 now += 100ms)
            {
                populated.get().tick(now);
            }
            next = 0;
            state.ResumeTiming();
        }
        benchmark::DoNotOptimize(populated.get().decide(new_flows[next], now));
        ++next;
    }
    state.counters["flows"] =
        static_cast<double>(populated.get().stats().flows);
}

// 26522 flows are the share of one daemon: 61 million flows over 2,300 daemons.
BENCHMARK(look_up_unordered_map)->Arg(26522)->Arg(262144)->Arg(1000000);
BENCHMARK(decide_established)->Arg(26522)->Arg(262144)->Arg(1000000);
BENCHMARK(decide_new)->Arg(26522)->Arg(100000)->Arg(262144)->Iterations(50000);

} // namespace
