// Time of one decision, against one cold look-up in a std::unordered_map of as
// many flows, in the same run. Flows are visited in a random order so that each
// look-up misses the caches as far as the table exceeds them.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/data_centre/bucket_map.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/testing/fake_group.hpp"

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

constexpr instant start{1000s};
constexpr std::uint32_t targets = 24000;

/// Flows of all buckets: the daemon of a group of one VM.
std::vector<packet_facts> make_flows(std::size_t count, std::uint64_t seed)
{
    random_source random(seed);
    std::vector<packet_facts> made;
    for (std::size_t i = 0; i < count; ++i)
    {
        made.push_back({.key = {{{static_cast<std::uint32_t>(random.next())},
                                 static_cast<std::uint16_t>(random.next())},
                                {{capacity::first_public_address + 1 +
                                  static_cast<std::uint32_t>(random.below(
                                      capacity::references_of(targets)))},
                                 443},
                                protocol::tcp},
                        .phase = flow_phase::opening});
    }
    return made;
}

void shuffle(std::vector<packet_facts>& flows)
{
    random_source random(2);
    for (std::size_t i = flows.size(); i > 1; --i)
    {
        std::swap(flows[i - 1], flows[random.below(i)]);
    }
}

class loaded_balancer
{
public:
    explicit loaded_balancer(std::size_t capacity)
        : core_({.flow_capacity = capacity}, {1}, {1}, 1, bearings_)
    {
        const auto set = std::make_shared<const published_set>(
            capacity::make_objects(targets, 1));
        core_.apply_set(set, core_.make_plan(*set), start);
        core_.allow_opening(true);
        core_.apply_view(capacity::make_view(1), start);
    }

    balancer& core()
    {
        return core_;
    }

private:
    testing::fake_bearings bearings_;
    balancer core_;
};

void decide_established(benchmark::State& state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    loaded_balancer loaded(count + 1);
    auto flows = make_flows(count, 1);
    for (packet_facts& each : flows)
    {
        loaded.core().decide(each, start);
        each.phase = flow_phase::established;
    }
    shuffle(flows);
    std::size_t next = 0;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(loaded.core().decide(flows[next], start));
        next = next + 1 == count ? 0 : next + 1;
    }
    state.counters["flows"] = static_cast<double>(loaded.core().stats().flows);
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
    loaded_balancer loaded(count + batch + 1);
    for (const packet_facts& each : make_flows(count, 1))
    {
        loaded.core().decide(each, start);
    }
    const auto fresh = make_flows(batch, 3);
    std::size_t next = 0;
    instant now = start;
    for (auto _ : state)
    {
        if (next == batch)
        {
            // The new flows end and are forgotten outside the timing.
            state.PauseTiming();
            for (packet_facts each : fresh)
            {
                each.phase = flow_phase::aborted;
                loaded.core().decide(each, now);
            }
            for (const instant until = now + 15s; now < until; now += 100ms)
            {
                loaded.core().tick(now);
            }
            next = 0;
            state.ResumeTiming();
        }
        benchmark::DoNotOptimize(loaded.core().decide(fresh[next], now));
        ++next;
    }
    state.counters["flows"] = static_cast<double>(loaded.core().stats().flows);
}

BENCHMARK(look_up_unordered_map)->Arg(26522)->Arg(262144)->Arg(1000000);
BENCHMARK(decide_established)->Arg(26522)->Arg(262144)->Arg(1000000);
BENCHMARK(decide_new)->Arg(26522)->Arg(100000)->Arg(262144)->Iterations(50000);

} // namespace
