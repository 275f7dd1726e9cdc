// Costs of the edge daemon's steering: decoding answers of the store, building
// views, and deciding on packets. Arguments are numbers of references or
// targets.

#include "catkinkeel/steering/catalog.hpp"
#include "catkinkeel/steering/steerer.hpp"
#include "platform/store_documents.hpp"
#include "standins/base64.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

namespace
{

using namespace catkinkeel;
using namespace catkinkeel::steering;

constexpr std::uint16_t public_port = 443;
constexpr std::int64_t data_centre_count = 16;

std::string routes_document(std::int64_t count)
{
    std::string routes;
    for (std::int64_t i = 0; i < count; ++i)
    {
        routes += std::string(i == 0 ? "" : ",") + R"({"name":"route-)" +
                  std::to_string(i) + R"(","host":"198.18.)" +
                  std::to_string(i / 256) + "." + std::to_string(i % 256) +
                  R"(","prefix":"/443/","service":"orderdesk","kind":"safe",)"
                  R"("timeout_ms":2500,"aim_ms":250,"priority":1,)"
                  R"("max_attempts":3})";
    }
    return R"({"version":7,"routes":[)" + routes +
           R"(],"services":[{"name":"orderdesk","warmup_per_s":2.5}],)"
           R"("limits":{"idle_timeout_ms":60000}})";
}

std::string configuration_answer(std::int64_t reference_count)
{
    return R"({"events":[{"key":"op/config","value":")" +
           encode_base64(routes_document(reference_count)) +
           R"(","revision":5,"created":5,"lease":0}],"as_of":9})";
}

metadata_update site_update(std::int64_t target_count,
                            std::int64_t reference_count)
{
    metadata_update update{.complete = true, .revision = 1};
    update.changes.push_back(*platform::to_change(
        {.key = "op/config", .value = routes_document(reference_count)}));
    for (std::int64_t i = 0; i < target_count; ++i)
    {
        const auto number = static_cast<std::uint32_t>(i + 1);
        update.changes.emplace_back(target_announced{
            {.name = "i-" + std::to_string(number),
             .identity = number,
             .service = "orderdesk",
             .address = {{0x0a000000U + number}, 8080},
             .data_centre = "dc-" + std::to_string(i % data_centre_count),
             .slots = 2,
             .heartbeat = 1,
             .started_ms = 1000}});
    }
    return update;
}

catalog make_catalog(std::int64_t target_count, std::int64_t reference_count)
{
    catalog metadata({});
    metadata.apply(site_update(target_count, reference_count), instant(1s));
    return metadata;
}

void decode_configuration(benchmark::State& state)
{
    const std::string body = configuration_answer(state.range(0));
    for (auto _ : state)
    {
        const auto page = platform::parse_store_page(body);
        benchmark::DoNotOptimize(platform::to_changes(page.value()));
    }
    state.SetBytesProcessed(
        static_cast<std::int64_t>(state.iterations() * body.size()));
}

void apply_configuration(benchmark::State& state)
{
    catalog metadata = make_catalog(300, state.range(0));
    auto change = std::get<configuration_published>(*platform::to_change(
        {.key = "op/config", .value = routes_document(state.range(0))}));
    std::uint64_t version = 8;
    for (auto _ : state)
    {
        change.configuration.version = {++version};
        metadata.apply({.revision = version, .changes = {change}}, instant(2s));
    }
}

void build_view(benchmark::State& state)
{
    const catalog metadata = make_catalog(state.range(0), state.range(1));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(metadata.make_view());
    }
}

steerer make_steerer(std::int64_t target_count)
{
    steerer result({.data_centre = "dc-0"},
                   std::make_shared<least_cost_policy>(selection_weights{}),
                   random_source(1));
    result.replace_view(std::make_shared<const steering_view>(
        make_catalog(target_count, 20).make_view()));
    return result;
}

/// Targets answer no flow, so more and more of them are avoided.
void place_new_flow(benchmark::State& state)
{
    steerer under_test = make_steerer(state.range(0));
    flow_packet packet{.key = {{{1}, 1}, {{0xc6120000U}, public_port}},
                       .opens = true};
    instant now(2s);
    for (auto _ : state)
    {
        ++packet.key.caller.address.value;
        now += 5ms;
        benchmark::DoNotOptimize(under_test.decide(packet, now));
        under_test.record_sent(now);
        under_test.process_timeouts(now);
    }
}

/// Targets answer; each flow consists of the opening packet, the caller's first
/// packet and its abort. `nearby` is the share of flows in the daemon's own
/// data centre.
void place_answered_flow(benchmark::State& state)
{
    steerer under_test = make_steerer(state.range(0));
    flow_packet packet{.key = {{{1}, 1}, {{0xc6120000U}, public_port}}};
    instant now(2s);
    std::int64_t nearby = 0;
    for (auto _ : state)
    {
        packet.opens = true;
        packet.aborts = false;
        ++packet.key.caller.address.value;
        now += 5ms;
        const auto result = under_test.decide(packet, now);
        const auto& to = std::get<forward>(result.decision);
        under_test.record_sent(now);
        packet.opens = false;
        packet.token = to.token;
        under_test.decide(packet, now + 1ms);
        packet.aborts = true;
        under_test.decide(packet, now + 2ms);
        under_test.process_timeouts(now + 2ms);
        nearby += to.identity % data_centre_count == 1 ? 1 : 0;
    }
    state.counters["nearby"] =
        static_cast<double>(nearby) / static_cast<double>(state.iterations());
}

} // namespace

BENCHMARK(decode_configuration)->Arg(20)->Arg(1420);
BENCHMARK(apply_configuration)->Arg(20)->Arg(1420);
BENCHMARK(build_view)
    ->Args({300, 20})
    ->Args({300, 1420})
    ->Args({3000, 20})
    ->Args({24000, 6100});
BENCHMARK(place_new_flow)->Arg(20)->Arg(300)->Arg(3000)->Arg(24000);
BENCHMARK(place_answered_flow)->Arg(20)->Arg(300)->Arg(3000)->Arg(24000);
