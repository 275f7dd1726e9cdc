// Time to read, check and build a published set, at the size of today, of a
// third and of all of the design size (24,000 targets, 6,100 references).

#include "catkinkeel/contract/check.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>

using namespace catkinkeel;

namespace
{

constexpr std::uint32_t references_of(std::uint32_t targets)
{
    return targets * 6100U / 24000U + 1;
}

/// `targets` targets in 16 data centres, a reference for each four of them and
/// a service for each ten references.
published_objects objects_of(std::uint32_t targets)
{
    published_objects objects{.version = {1}, .published_by = "bench"};
    for (std::uint16_t i = 1; i <= 16; ++i)
    {
        objects.data_centres.push_back(
            {{i}, "dc-" + std::to_string(i), {static_cast<uint16_t>(i / 4)}});
    }
    const std::uint32_t references = references_of(targets);
    const std::uint32_t services = references / 10 + 1;
    for (std::uint32_t i = 1; i <= services; ++i)
    {
        objects.services.push_back({{i}, "service-" + std::to_string(i)});
    }
    for (std::uint32_t i = 1; i <= references; ++i)
    {
        objects.references.push_back(
            {{i}, {{0xc6330000U + i}, 443}, protocol::tcp, {i % services + 1}});
    }
    for (std::uint32_t i = 1; i <= targets; ++i)
    {
        objects.targets.push_back({{i},
                                   {i % services + 1},
                                   {static_cast<std::uint16_t>(i % 16 + 1)},
                                   {{0x0a000000U + i}, 8443},
                                   {{0x0a000000U + i}, 9100}});
    }
    return objects;
}

void check_and_build(benchmark::State& state)
{
    const auto objects = objects_of(static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state)
    {
        if (!check_objects(objects).empty())
        {
            state.SkipWithError("the set is refused");
        }
        published_set set(objects);
        benchmark::DoNotOptimize(set);
    }
}

void warn(benchmark::State& state)
{
    const published_set set(
        objects_of(static_cast<std::uint32_t>(state.range(0))));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(check_warnings(set.objects(), &set));
    }
}

void parse_all_chunks(benchmark::State& state)
{
    const auto documents =
        split_set(objects_of(static_cast<std::uint32_t>(state.range(0))));
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
    const auto text =
        write_whole_set(objects_of(static_cast<std::uint32_t>(state.range(0))));
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(parse_whole_set(text, "set"));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void parse_index_and_one_chunk(benchmark::State& state)
{
    const auto documents =
        split_set(objects_of(static_cast<std::uint32_t>(state.range(0))));
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
