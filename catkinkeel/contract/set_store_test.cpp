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

/// The first output of type `T`; null if there is none.
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

std::vector<read_chunk> read_requests(const store_outputs& outputs)
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

/// A store for which this test plays the configuration service. `now` is after
/// `store_settings::peer_report_timeout`, so sets take effect without peers.
struct store_and_service
{
    set_store store{start, random_source(1)};
    instant now = start + 2s;

    /// Passes the index of `objects` to the store and completes all reads.
    store_outputs publish(const published_objects& objects)
    {
        const auto documents = split_set(objects);
        return complete_reads(documents,
                              store.handle_index(documents.index, now));
    }

    /// Returns the requested chunks to the store, and those requested as a
    /// result. Returns the outputs of the last read, or `outputs` if it has no
    /// read.
    store_outputs complete_reads(const set_documents& documents,
                                 const store_outputs& outputs)
    {
        store_outputs last_outputs = outputs;
        for (const read_chunk& request : read_requests(outputs))
        {
            ++chunk_reads;
            const auto chunk = std::ranges::find(documents.chunks, request.hash,
                                                 [](const auto& each)
                                                 { return each.entry.hash; });
            REQUIRE(chunk != documents.chunks.end());
            last_outputs = complete_reads(
                documents, store.handle_chunk(request.name, request.hash,
                                              chunk->text, now));
        }
        return last_outputs;
    }

    /// Number of chunks read so far.
    int chunk_reads = 0;
};

} // namespace

// Guards against a read load that grows with the size of the set instead of
// with the size of the change.
TEST_CASE("a published set takes effect and only changed chunks are read again")
{
    store_and_service fixture;
    const auto first = fixture.publish(objects_at(1));
    REQUIRE(find<set_accepted>(first) != nullptr);
    CHECK(find<set_accepted>(first)->previous == nullptr);
    CHECK(fixture.store.in_effect()->objects() == objects_at(1));
    CHECK(fixture.chunk_reads == 4);

    const auto second = fixture.publish(objects_at(2, 50));
    REQUIRE(find<set_accepted>(second) != nullptr);
    CHECK(find<set_accepted>(second)->previous->version() == set_version{1});
    CHECK(fixture.store.in_effect()->find_target({1})->weight == 50);
    CHECK(fixture.chunk_reads == 5);
}

// Guards against an invalid set that takes effect, is lost without a trace or
// is validated again at every poll.
TEST_CASE("a refused set leaves the old one in effect and stays visible")
{
    store_and_service fixture;
    fixture.publish(objects_at(1));
    auto bad = objects_at(2);
    bad.references[0].service = {9};
    const auto outputs = fixture.publish(bad);
    REQUIRE(find<set_refused>(outputs) != nullptr);
    CHECK(find<set_refused>(outputs)->object_errors[0].rule ==
          "reference_service_exists");
    CHECK(fixture.store.in_effect()->version() == set_version{1});
    CHECK(fixture.store.last_refused()->version == set_version{2});
    // Otherwise each long poll would return the refused version at once.
    CHECK(fixture.store.watch_after() == set_version{2});
    const auto again = fixture.publish(bad);
    CHECK(find<set_ignored>(again)->reason == ignore_reason::refused);
    CHECK(fixture.store.status().candidate == set_version{0});

    CHECK(find<set_accepted>(fixture.publish(objects_at(3))) != nullptr);
    CHECK(!fixture.store.last_refused());
}

// Guards against a set that takes effect without the objects of a chunk that
// has the right hash but is not valid.
TEST_CASE("a chunk that cannot be parsed causes its set to be refused with the "
          "errors")
{
    store_and_service fixture;
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
    const auto outputs = fixture.complete_reads(
        documents, fixture.store.handle_index(documents.index, fixture.now));
    REQUIRE(find<set_refused>(outputs) != nullptr);
    CHECK(find<set_refused>(outputs)->document_errors[0].rule == "unknown_key");
    CHECK(fixture.store.in_effect() == nullptr);
}

// Guards against daemons with different sets in effect after the configuration
// service returned an older version, or another content for the same version.
TEST_CASE("a version never goes back and never changes its content")
{
    store_and_service fixture;
    fixture.publish(objects_at(5));
    const auto older = fixture.publish(objects_at(4));
    CHECK(*find<set_ignored>(older) ==
          set_ignored{{4}, {5}, ignore_reason::older, configuration_service{}});
    CHECK(find<set_ignored>(fixture.publish(objects_at(5)))->reason ==
          ignore_reason::known);
    CHECK(find<set_ignored>(fixture.publish(objects_at(5, 1)))->reason ==
          ignore_reason::conflicting);
    CHECK(fixture.store.in_effect()->objects() == objects_at(5));
}

// Guards against a loss of the set in effect after a faulty response.
TEST_CASE("an index that cannot be parsed is rejected and changes nothing")
{
    store_and_service fixture;
    fixture.publish(objects_at(1));
    const auto outputs = fixture.store.handle_index("version = ", fixture.now);
    REQUIRE(outputs.size() == 1);
    CHECK(find<document_rejected>(outputs) != nullptr);
    CHECK(fixture.store.status().in_effect == set_version{1});
}

// Guards against a candidate that never becomes complete after one faulty or
// lost response, and against retries without a delay.
TEST_CASE("a chunk is requested again after wrong content or a failed read")
{
    store_and_service fixture;
    const auto documents = split_set(objects_at(1));
    const auto requested_reads =
        read_requests(fixture.store.handle_index(documents.index, start + 2s));
    REQUIRE(requested_reads.size() == 4);
    const auto wrong = fixture.store.handle_chunk(
        requested_reads[0].name, requested_reads[0].hash, "id = 1", start + 2s);
    CHECK(find<document_rejected>(wrong) != nullptr);
    fixture.store.handle_chunk_read_failure(requested_reads[1].hash,
                                            start + 2s);
    // No other source is known, so both are read again after the retry delay of
    // 1 s. Reads without a response are repeated after their timeout of 5 s and
    // this delay.
    CHECK(read_requests(fixture.store.tick(start + 2500ms)).empty());
    CHECK(read_requests(fixture.store.tick(start + 3100ms)).size() == 2);
    fixture.store.tick(start + 7500ms);
    CHECK(read_requests(fixture.store.tick(start + 8600ms)).size() == 2);
    CHECK(read_requests(fixture.store.tick(start + 9700ms)).size() == 2);
    CHECK(fixture.store.in_effect() == nullptr);
}

// Guards against a restarted daemon that puts an older set into effect than its
// peers have, because the configuration service returned stale data.
TEST_CASE(
    "after a restart, a set from the service waits for the versions of peers")
{
    const auto documents = split_set(objects_at(6));
    const vm_id peer{7};

    SECTION("a peer with a later version causes the set to be ignored")
    {
        store_and_service fixture;
        fixture.now = start + 100ms;
        fixture.publish(objects_at(6));
        CHECK(fixture.store.in_effect() == nullptr);
        const auto outputs =
            fixture.store.handle_peer_version({7}, peer, fixture.now);
        CHECK(find<set_ignored>(outputs)->reason == ignore_reason::older);
        REQUIRE(find<send_chunk_request>(outputs) != nullptr);
        CHECK(find<send_chunk_request>(outputs)->request == chunk_request{{7}});
        // The stale set is ignored also after `peer_report_timeout`.
        fixture.now = start + 100s;
        CHECK(find<set_ignored>(fixture.publish(objects_at(6))) != nullptr);
        CHECK(fixture.store.in_effect() == nullptr);
    }
    SECTION("a peer with the same or an older version lets it take effect")
    {
        store_and_service fixture;
        fixture.now = start + 100ms;
        fixture.publish(objects_at(6));
        CHECK(find<set_accepted>(fixture.store.handle_peer_version(
                  {5}, peer, fixture.now)) != nullptr);
    }
    SECTION("without any peer it takes effect after one second")
    {
        store_and_service fixture;
        fixture.now = start + 100ms;
        fixture.publish(objects_at(6));
        // A report of version 0 (no set in effect) does not end the wait.
        fixture.store.handle_peer_version({0}, peer, fixture.now);
        CHECK(find<set_accepted>(fixture.store.tick(start + 900ms)) == nullptr);
        CHECK(find<set_accepted>(fixture.store.tick(start + 1s)) != nullptr);
    }
}

// Guards against reads beyond a document for invalid offsets, and against parts
// of documents that the peer did not request.
TEST_CASE("requests of peers are served only from documents in memory")
{
    store_and_service fixture;
    fixture.publish(objects_at(3));
    const auto documents = split_set(objects_at(3));
    const auto& chunk = documents.chunks[0];
    const auto part_for = [&](const chunk_request& request)
    {
        const auto outputs = fixture.store.handle_request({9}, request);
        const auto* response = find<send_chunk_part>(outputs);
        return response == nullptr ? std::nullopt
                                   : std::optional(response->part);
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
