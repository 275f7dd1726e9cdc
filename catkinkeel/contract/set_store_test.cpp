#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace catkinkeel;

namespace
{

published_objects objects_at(std::uint64_t version, std::uint16_t weight = 100)
{
    const endpoint address{{0x0a000001}, 80};
    return {.version = {version},
            .services = {{.id = {1}, .name = "orderdesk"}},
            .data_centres = {{.id = {1}, .name = "zilina-a", .region = {1}}},
            .targets = {{{1}, {1}, {1}, address, address, weight}},
            .references = {{{1}, {{0xc6336401}, 443}, protocol::tcp, {1}}}};
}

template <class T>
const T* find(const store_outputs& outputs)
{
    for (const store_output& each : outputs)
    {
        if (const T* found = std::get_if<T>(&each))
        {
            return found;
        }
    }
    return nullptr;
}

std::vector<read_chunk> reads(const store_outputs& outputs)
{
    std::vector<read_chunk> found;
    for (const store_output& each : outputs)
    {
        if (const auto* read = std::get_if<read_chunk>(&each))
        {
            found.push_back(*read);
        }
    }
    return found;
}

const instant start{};

/// A store whose wait for peers has ended, with the chunks that the
/// configuration service holds.
struct service_reader
{
    set_store store{start, random_source(1)};
    instant now = start + 2s;

    /// Publishes `objects` and answers every read until no chunk is missing.
    store_outputs publish(const published_objects& objects)
    {
        const auto documents = split_set(objects);
        return answer(documents, store.index_read(documents.index, now));
    }

    store_outputs answer(const set_documents& documents,
                         const store_outputs& outputs)
    {
        store_outputs last = outputs;
        for (const read_chunk& wanted : reads(outputs))
        {
            ++chunk_reads;
            const auto chunk = std::ranges::find(documents.chunks, wanted.hash,
                                                 [](const auto& each)
                                                 { return each.entry.hash; });
            REQUIRE(chunk != documents.chunks.end());
            last = answer(documents, store.chunk_read(wanted.name, wanted.hash,
                                                      chunk->text, now));
        }
        return last;
    }

    int chunk_reads = 0;
};

} // namespace

TEST_CASE("a published set takes effect and only changed chunks are read again")
{
    service_reader reader;
    const auto first = reader.publish(objects_at(1));
    REQUIRE(find<set_accepted>(first) != nullptr);
    CHECK(find<set_accepted>(first)->previous == nullptr);
    CHECK(reader.store.in_effect()->objects() == objects_at(1));
    CHECK(reader.chunk_reads == 4);

    const auto second = reader.publish(objects_at(2, 50));
    REQUIRE(find<set_accepted>(second) != nullptr);
    CHECK(find<set_accepted>(second)->previous->version() == set_version{1});
    CHECK(reader.store.in_effect()->find_target({1})->weight == 50);
    CHECK(reader.chunk_reads == 5);
}

TEST_CASE("a refused set leaves the old one in effect and stays visible")
{
    service_reader reader;
    reader.publish(objects_at(1));
    auto bad = objects_at(2);
    bad.references[0].service = {9};
    const auto outputs = reader.publish(bad);
    REQUIRE(find<set_refused>(outputs) != nullptr);
    CHECK(find<set_refused>(outputs)->object_errors[0].rule ==
          "reference_service_exists");
    CHECK(reader.store.in_effect()->version() == set_version{1});
    CHECK(reader.store.last_refused()->version == set_version{2});
    // Otherwise the watch would return the refused version repeatedly.
    CHECK(reader.store.watch_after() == set_version{2});
    const auto again = reader.publish(bad);
    CHECK(find<set_ignored>(again)->reason == ignore_reason::refused);
    CHECK(reader.store.status().candidate == set_version{0});

    CHECK(find<set_accepted>(reader.publish(objects_at(3))) != nullptr);
    CHECK(!reader.store.last_refused());
}

TEST_CASE("a chunk that cannot be read causes its set to be refused with the "
          "errors")
{
    service_reader reader;
    auto documents = split_set(objects_at(1));
    documents.chunks[0].text += "colour = 1\n";
    documents.chunks[0].entry.hash = content_hash(documents.chunks[0].text);
    documents.chunks[0].entry.size =
        static_cast<std::uint32_t>(documents.chunks[0].text.size());
    index_document index{{1}, "", {}};
    for (const auto& each : documents.chunks)
    {
        index.chunks.push_back(each.entry);
    }
    documents.index = write_index(index);
    const auto outputs = reader.answer(
        documents, reader.store.index_read(documents.index, reader.now));
    REQUIRE(find<set_refused>(outputs) != nullptr);
    CHECK(find<set_refused>(outputs)->document_errors[0].rule == "unknown_key");
    CHECK(reader.store.in_effect() == nullptr);
}

TEST_CASE("a version never goes back and never changes its content")
{
    service_reader reader;
    reader.publish(objects_at(5));
    const auto older = reader.publish(objects_at(4));
    CHECK(*find<set_ignored>(older) ==
          set_ignored{{4}, {5}, ignore_reason::older, configuration_service{}});
    CHECK(find<set_ignored>(reader.publish(objects_at(5)))->reason ==
          ignore_reason::known);
    CHECK(find<set_ignored>(reader.publish(objects_at(5, 1)))->reason ==
          ignore_reason::conflicting);
    CHECK(reader.store.in_effect()->objects() == objects_at(5));
}

TEST_CASE("an unreadable index is rejected and changes nothing")
{
    service_reader reader;
    reader.publish(objects_at(1));
    const auto outputs = reader.store.index_read("version = ", reader.now);
    REQUIRE(outputs.size() == 1);
    CHECK(find<document_rejected>(outputs) != nullptr);
    CHECK(reader.store.status().in_effect == set_version{1});
}

TEST_CASE("a chunk is requested again after wrong content or a failed read")
{
    service_reader reader;
    const auto documents = split_set(objects_at(1));
    const auto asked =
        reads(reader.store.index_read(documents.index, start + 2s));
    REQUIRE(asked.size() == 4);
    const auto wrong = reader.store.chunk_read(asked[0].name, asked[0].hash,
                                               "id = 1", start + 2s);
    CHECK(find<document_rejected>(wrong) != nullptr);
    reader.store.chunk_read_failed(asked[1].hash, start + 2s);
    // No other source is known, so both are read again after the retry delay.
    // Reads without an answer are repeated after their timeout and this delay.
    CHECK(reads(reader.store.tick(start + 2500ms)).empty());
    CHECK(reads(reader.store.tick(start + 3100ms)).size() == 2);
    reader.store.tick(start + 7500ms);
    CHECK(reads(reader.store.tick(start + 8600ms)).size() == 2);
    CHECK(reads(reader.store.tick(start + 9700ms)).size() == 2);
    CHECK(reader.store.in_effect() == nullptr);
}

TEST_CASE(
    "a restarted daemon trusts a stale service only after its peers reported")
{
    const auto documents = split_set(objects_at(6));
    const vm_id peer{7};

    SECTION("peers with a later version overrule the service")
    {
        service_reader reader;
        reader.now = start + 100ms;
        reader.publish(objects_at(6));
        CHECK(reader.store.in_effect() == nullptr);
        const auto outputs =
            reader.store.handle_peer_version({7}, peer, reader.now);
        CHECK(find<set_ignored>(outputs)->reason == ignore_reason::older);
        REQUIRE(find<send_chunk_request>(outputs) != nullptr);
        CHECK(find<send_chunk_request>(outputs)->request == chunk_request{{7}});
        // The stale set stays ignored even long afterwards.
        reader.now = start + 100s;
        CHECK(find<set_ignored>(reader.publish(objects_at(6))) != nullptr);
        CHECK(reader.store.in_effect() == nullptr);
    }
    SECTION("a peer with the same or an older version confirms it")
    {
        service_reader reader;
        reader.now = start + 100ms;
        reader.publish(objects_at(6));
        CHECK(find<set_accepted>(reader.store.handle_peer_version(
                  {5}, peer, reader.now)) != nullptr);
    }
    SECTION("without any peer the service is trusted after one second")
    {
        service_reader reader;
        reader.now = start + 100ms;
        reader.publish(objects_at(6));
        // A peer without a set does not confirm the version.
        reader.store.handle_peer_version({0}, peer, reader.now);
        CHECK(find<set_accepted>(reader.store.tick(start + 900ms)) == nullptr);
        CHECK(find<set_accepted>(reader.store.tick(start + 1s)) != nullptr);
    }
}

TEST_CASE("requests of peers are answered only from held documents")
{
    service_reader reader;
    reader.publish(objects_at(3));
    const auto documents = split_set(objects_at(3));
    const auto& chunk = documents.chunks[0];
    const auto part_for = [&](const chunk_request& request)
    {
        const auto outputs = reader.store.requested({9}, request);
        const auto* answer = find<send_chunk_part>(outputs);
        return answer == nullptr ? std::nullopt : std::optional(answer->part);
    };
    CHECK(part_for({{2}, "", "", 0})->version == set_version{3});
    CHECK(part_for({{3}, "", "", 0})->text == documents.index);
    CHECK(part_for({{4}, "", "", 0})->total == 0);
    CHECK(part_for({{1}, chunk.entry.name, chunk.entry.hash, 0})->text ==
          chunk.text);
    CHECK(part_for({{3}, "x", "0000000000000000", 0})->total == 0);
    CHECK(!part_for({{3}, "", "", 1}));
    CHECK(!part_for({{3}, "", "", max_part_bytes}));
    CHECK(!part_for({{3}, "", "", 0xffffe000U}));
}
