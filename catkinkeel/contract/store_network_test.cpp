// Tests stores that exchange messages over a simulated network with faults.

#include "catkinkeel/contract/set_store.hpp"
#include "catkinkeel/contract/write_documents.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

using namespace catkinkeel;

namespace
{

/// A set with a chunk that is transferred in several parts. The weight of all
/// targets is the version.
published_objects large_set(std::uint64_t version)
{
    published_objects objects{
        .version = {version},
        .services = {{.id = {1}, .name = "orderdesk"}},
        .data_centres = {{.id = {1}, .name = "zilina-a", .region = {1}}},
        .references = {{{1}, {{0xc6336401}, 443}, protocol::tcp, {1}}}};
    for (std::uint32_t i = 1; i <= 170; ++i)
    {
        objects.targets.push_back({{i},
                                   {1},
                                   {1},
                                   {{0x0a000000 + i}, 80},
                                   {{0x0a000000 + i}, 81},
                                   static_cast<std::uint16_t>(version)});
    }
    return objects;
}

struct faults
{
    /// Percentages of messages that are lost, duplicated or delayed, and of
    /// parts with a changed byte.
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t delayed = 0;
    std::uint64_t corrupted = 0;
};

/// Stores of several VMs, the configuration service and the messages in
/// transit. Time advances only in `run`.
class network
{
public:
    network(std::uint32_t size, faults injected_faults, std::uint64_t seed)
        : faults_(injected_faults), random_(seed)
    {
        for (std::uint32_t id = 1; id <= size; ++id)
        {
            stores_.emplace(vm_id{id},
                            set_store(now_, random_source(seed + id)));
        }
    }

    set_store& store(std::uint32_t id)
    {
        return stores_.at({id});
    }
    void restart(std::uint32_t id)
    {
        stores_.insert_or_assign(vm_id{id}, set_store(now_, random_source(id)));
    }
    void stop(std::uint32_t id)
    {
        stores_.erase({id});
    }

    /// Makes `objects` the set that the configuration service returns.
    void publish(const published_objects& objects)
    {
        documents_ = split_set(objects, 400);
        for (const auto& each : documents_.chunks)
        {
            chunks_[each.entry.hash] = each.text;
        }
    }

    /// `id` reads the index from the configuration service.
    void read_index(std::uint32_t id)
    {
        apply_outputs({id}, store(id).handle_index(documents_.index, now_));
    }

    /// Runs for `time`. Each store receives the versions of all others every
    /// 100 ms.
    void run(duration time)
    {
        for (const instant end = now_ + time; now_ < end; now_ += 10ms)
        {
            deliver();
            if (now_.time_since_epoch() % 100ms == 0ms)
            {
                exchange_versions();
            }
        }
    }

    /// Chunks read from the configuration service by all VMs.
    int service_reads = 0;
    /// Messages sent between VMs, including lost ones.
    int messages = 0;
    /// Versions that each VM accepted, in order.
    std::map<vm_id, std::vector<set_version>> accepted;

private:
    struct message
    {
        instant delivery_time;
        vm_id from;
        vm_id to;
        std::variant<chunk_request, chunk_part> body;
    };

    void exchange_versions()
    {
        for (auto& [to, store] : stores_)
        {
            apply_outputs(to, store.tick(now_));
            for (const auto& [from, other] : stores_)
            {
                if (from != to)
                {
                    apply_outputs(
                        to, store.handle_peer_version(other.status().in_effect,
                                                      from, now_));
                }
            }
        }
    }

    void send(vm_id from, vm_id to,
              std::variant<chunk_request, chunk_part> body)
    {
        ++messages;
        auto* part = std::get_if<chunk_part>(&body);
        if (part != nullptr && !part->text.empty() &&
            random_.below(100) < faults_.corrupted)
        {
            part->text[random_.below(part->text.size())] ^= 1;
        }
        if (random_.below(100) < faults_.lost)
        {
            return;
        }
        const int copy_count = random_.below(100) < faults_.duplicated ? 2 : 1;
        for (int i = 0; i < copy_count; ++i)
        {
            const bool delayed = random_.below(100) < faults_.delayed;
            const auto delay =
                duration(10ms) * (1 + random_.below(delayed ? 200 : 3));
            in_transit_.push_back({now_ + delay, from, to, body});
        }
    }

    void deliver()
    {
        std::vector<message> due;
        std::erase_if(in_transit_,
                      [&](const message& each)
                      {
                          if (each.delivery_time <= now_)
                          {
                              due.push_back(each);
                          }
                          return each.delivery_time <= now_;
                      });
        for (const message& each : due)
        {
            const auto found = stores_.find(each.to);
            if (found == stores_.end())
            {
                continue;
            }
            if (const auto* request = std::get_if<chunk_request>(&each.body))
            {
                apply_outputs(
                    each.to, found->second.handle_request(each.from, *request));
            }
            else
            {
                apply_outputs(
                    each.to,
                    found->second.handle_part(
                        each.from, std::get<chunk_part>(each.body), now_));
            }
        }
    }

    void apply_outputs(vm_id self, const store_outputs& outputs)
    {
        for (const store_output& each : outputs)
        {
            if (const auto* outgoing_request =
                    std::get_if<send_chunk_request>(&each))
            {
                send(self, outgoing_request->to, outgoing_request->request);
            }
            else if (const auto* outgoing_part =
                         std::get_if<send_chunk_part>(&each))
            {
                send(self, outgoing_part->to, outgoing_part->part);
            }
            else if (const auto* read = std::get_if<read_chunk>(&each))
            {
                ++service_reads;
                apply_outputs(self, stores_.at(self).handle_chunk(
                                        read->name, read->hash,
                                        chunks_.at(read->hash), now_));
            }
            else if (const auto* accepted_now =
                         std::get_if<set_accepted>(&each))
            {
                accepted[self].push_back(accepted_now->set->version());
            }
        }
    }

    instant now_{};
    faults faults_;
    random_source random_;
    std::map<vm_id, set_store> stores_;
    std::vector<message> in_transit_;
    set_documents documents_;
    std::map<std::string, std::string> chunks_;
};

} // namespace

// Guards against a read load on the configuration service that grows with the
// number of VMs, or with restarts.
TEST_CASE("one VM reads from the service, and the others fetch from peers")
{
    network net(6, {}, 1);
    const auto chunks =
        static_cast<int>(split_set(large_set(1), 400).chunks.size());
    net.publish(large_set(1));
    net.run(2s);
    net.read_index(1);
    net.run(2s);
    for (std::uint32_t id = 1; id <= 6; ++id)
    {
        REQUIRE(net.store(id).in_effect() != nullptr);
        CHECK(net.store(id).in_effect()->objects() ==
              published_set(large_set(1)).objects());
    }
    // Each chunk was read once, not once for each VM.
    CHECK(net.service_reads == chunks);
    net.restart(3);
    net.run(2s);
    REQUIRE(net.store(3).in_effect() != nullptr);
    CHECK(net.service_reads == chunks);
}

// Guards against transfers that stop, accept corrupted text or keep documents
// of former versions in memory on a network with faults.
TEST_CASE("lost, duplicated, late and corrupted parts only delay a set")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed)
    {
        INFO(seed);
        random_source random(seed);
        const faults injected{.lost = random.below(25),
                              .duplicated = random.below(30),
                              .delayed = random.below(30),
                              .corrupted = random.below(5)};
        network net(4, injected, seed);
        net.run(1s);
        // New versions are published while chunks are in transit.
        for (std::uint64_t version = 1; version <= 3; ++version)
        {
            net.publish(large_set(version));
            net.read_index(1);
            net.run(500ms);
        }
        net.run(60s);
        for (std::uint32_t id = 1; id <= 4; ++id)
        {
            REQUIRE(net.store(id).in_effect() != nullptr);
            CHECK(net.store(id).in_effect()->objects() ==
                  published_set(large_set(3)).objects());
            // Only the chunks of the set in effect stay in memory.
            CHECK(net.store(id).status().stored_bytes < 20'000);
            const auto& accepted = net.accepted[{id}];
            CHECK(std::ranges::adjacent_find(accepted, std::greater_equal()) ==
                  accepted.end());
        }
    }
}

// Guards against a transfer that waits for a peer that has stopped.
TEST_CASE("a transfer continues from other VMs when its source stops")
{
    network net(3, {.lost = 10}, 5);
    net.publish(large_set(1));
    net.run(2s);
    net.read_index(1);
    net.read_index(2);
    net.restart(3);
    net.run(30ms);
    net.stop(1);
    net.run(20s);
    REQUIRE(net.store(3).in_effect() != nullptr);
    CHECK(net.store(3).in_effect()->version() == set_version{1});
}

// Guards against a VM that never fetches the set because it permanently
// excludes its only peer after a corrupted index.
TEST_CASE("a corrupted index does not exclude the only peer permanently")
{
    network net(2, {.corrupted = 60}, 9);
    net.publish(large_set(1));
    net.run(2s);
    net.read_index(1);
    net.run(200s);
    REQUIRE(net.store(2).in_effect() != nullptr);
}

// Guards against crashes and against sets assembled from invalid parts.
TEST_CASE("arbitrary parts from peers never stop a store or yield a set")
{
    CHECK(rc::check(
        []
        {
            set_store store(instant{}, random_source(3));
            const auto documents = split_set(large_set(4), 400);
            store.handle_peer_version({4}, {1}, instant{});
            const auto numbers = rc::gen::elementOf(std::vector<std::uint32_t>{
                0, 1, 8191, 8192, 16384, 0xffffe000U, 0xffffffffU});
            for (int i = 0; i < 60; ++i)
            {
                chunk_part part{{*rc::gen::inRange<std::uint64_t>(3, 6)},
                                "",
                                content_hash(documents.index),
                                *numbers,
                                *numbers,
                                std::string(*numbers % 10'000U, 'x')};
                if (*rc::gen::arbitrary<bool>())
                {
                    part.offset = 0;
                    part.total =
                        static_cast<std::uint32_t>(documents.index.size());
                    part.text = documents.index;
                }
                if (*rc::gen::arbitrary<bool>())
                {
                    const auto& chunk = *rc::gen::elementOf(documents.chunks);
                    part.name = chunk.entry.name;
                    part.content_hash = chunk.entry.hash;
                }
                store.handle_part({*rc::gen::inRange<std::uint32_t>(0, 3)},
                                  part, instant{} + 100ms * i);
                store.tick(instant{} + 100ms * i);
                (void)store.handle_request(
                    {1},
                    {part.version, part.name, part.content_hash, part.offset});
            }
            RC_ASSERT(store.in_effect() == nullptr);
        }));
}
