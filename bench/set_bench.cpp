// Measures the time to parse, validate and build a published set with 18
// targets (the current size), a third of the design size and the full design
// size (24,000 targets, 6,100 references).

#include "catkinkeel/contract/check.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

using namespace catkinkeel;

namespace
{

constexpr std::uint32_t reference_count(std::uint32_t target_count)
{
    return target_count * 6100U / 24000U + 1;
}

/// Returns objects with `target_count` targets in 16 data centres, one
/// reference per four targets and one service per ten references.
published_objects make_objects(std::uint32_t target_count)
{
    published_objects objects{.version = {1}, .published_by = "bench"};
    for (std::uint16_t i = 1; i <= 16; ++i)
    {
        objects.data_centres.push_back(
            {{i}, "dc-" + std::to_string(i), {static_cast<uint16_t>(i / 4)}});
    }
    const std::uint32_t reference_total = reference_count(target_count);
    const std::uint32_t service_count = reference_total / 10 + 1;
    for (std::uint32_t i = 1; i <= service_count; ++i)
    {
        objects.services.push_back({{i}, "service-" + std::to_string(i)});
    }
    for (std::uint32_t i = 1; i <= reference_total; ++i)
    {
        objects.references.push_back({{i},
                                      {{0xc6330000U + i}, 443},
                                      protocol::tcp,
                                      {i % service_count + 1}});
    }
    for (std::uint32_t i = 1; i <= target_count; ++i)
    {
        objects.targets.push_back({{i},
                                   {i % service_count + 1},
                                   {static_cast<std::uint16_t>(i % 16 + 1)},
                                   {{0x0a000000U + i}, 8443},
                                   {{0x0a000000U + i}, 9100}});
    }
    return objects;
}

void check_and_build(benchmark::State& state)
{
    const auto objects =
        make_objects(static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state)
    {
        if (!check_objects(objects).empty())
        {
            state.SkipWithError("the set is invalid");
        }
        published_set set(objects);
        benchmark::DoNotOptimize(set);
    }
}

void warn(benchmark::State& state)
{
    const published_set set(
        make_objects(static_cast<std::uint32_t>(state.range(0))));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(find_warnings(set.objects(), &set));
    }
}

void parse_all_chunks(benchmark::State& state)
{
    const auto documents =
        split_set(make_objects(static_cast<std::uint32_t>(state.range(0))));
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        bytes = documents.index.size();
        benchmark::DoNotOptimize(parse_index(documents.index));
        for (const auto& chunk : documents.chunks)
        {
            bytes += chunk.text.size();
            benchmark::DoNotOptimize(parse_chunk(chunk.text, chunk.entry.name));
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.counters["index_bytes"] = static_cast<double>(documents.index.size());
    state.counters["chunks"] = static_cast<double>(documents.chunks.size());
}

void parse_one_document(benchmark::State& state)
{
    const auto text = write_whole_set(
        make_objects(static_cast<std::uint32_t>(state.range(0))));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(parse_whole_set(text, "set"));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void parse_index_and_one_chunk(benchmark::State& state)
{
    const auto documents =
        split_set(make_objects(static_cast<std::uint32_t>(state.range(0))));
    const auto& chunk = documents.chunks.back();
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(parse_index(documents.index));
        benchmark::DoNotOptimize(parse_chunk(chunk.text, chunk.entry.name));
    }
    state.counters["bytes"] =
        static_cast<double>(documents.index.size() + chunk.text.size());
}

BENCHMARK(check_and_build)
    ->Arg(18)
    ->Arg(8000)
    ->Arg(24000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(warn)->Arg(18)->Arg(8000)->Arg(24000)->Unit(benchmark::kMillisecond);
BENCHMARK(parse_all_chunks)
    ->Arg(18)
    ->Arg(8000)
    ->Arg(24000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(parse_one_document)
    ->Arg(18)
    ->Arg(8000)
    ->Arg(24000)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(parse_index_and_one_chunk)
    ->Arg(18)
    ->Arg(8000)
    ->Arg(24000)
    ->Unit(benchmark::kMillisecond);

} // namespace
