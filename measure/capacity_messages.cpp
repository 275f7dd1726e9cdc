// Measures the sizes of control messages and documents at the design size.

#include "catkinkeel/base/random.hpp"
#include "catkinkeel/contract/write_documents.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/envelope.hpp"
#include "catkinkeel/target/target_registry.hpp"
#include "catkinkeel/vm/parse_vm_list.hpp"

#include <memory>

#include "measure/design_size.hpp"

using namespace catkinkeel;

namespace capacity
{

namespace
{

constexpr instant start_time{1000s};

/// Size of the message with envelope and TCP/IP headers, as counted by
/// `byte_budget`.
double wire_bytes(const message& content)
{
    return static_cast<double>(encode_message(content).size() + envelope_size +
                               header_overhead.value);
}

void print_update_size(std::size_t changes)
{
    random_source random(1);
    target_update update_message;
    for (std::size_t i = 0; i < changes; ++i)
    {
        update_message.changes.push_back(
            {.id = {static_cast<std::uint32_t>(random.below(24000))},
             .instance = random.next() >> 1U,
             .connections = 1234,
             .busy_slots = 2,
             .warm = true,
             .sequence = 1'796'000'000'000'000'000 + i});
    }
    print_row("message.target_news", changes, wire_bytes(update_message), "B");
}

std::string make_vm_list_text(std::uint32_t vm_count)
{
    std::string text;
    for (const listed_vm& each : make_vm_list(vm_count, start_time).vms)
    {
        text += "[[vm]]\nid = " + std::to_string(each.id.value) +
                "\ndata_centre = " + std::to_string(each.data_centre.value) +
                "\ncontrol = \"" + to_string(each.control) +
                "\"\npackets = \"" + to_string(each.packets) + "\"\n";
    }
    return text;
}

} // namespace

void measure_messages()
{
    const std::uint64_t session = ~std::uint64_t{0};
    const set_version version{100000};
    print_row("message.claim", 1,
              wire_bytes(claim{session, 10, version, session}), "B");
    print_row("message.handover_empty", 1,
              wire_bytes(handover{session, 10, 1, true, version, session, {}}),
              "B");
    print_row("message.handover_ack", 1,
              wire_bytes(handover_ack{session, 10, 1000}), "B");
    print_row("message.replicate_ack", 1,
              wire_bytes(replicate_ack{session, 10}), "B");
    print_row("message.chunk_request", 1,
              wire_bytes(chunk_request{version, "target-0001",
                                       "0123456789abcdef", 8192}),
              "B");
    for (const std::size_t text : {1024U, 4096U, 8192U})
    {
        print_row(
            "message.chunk_part", text,
            wire_bytes(chunk_part{version, "target-0001", "0123456789abcdef", 0,
                                  16384, std::string(text, 'x')}),
            "B");
    }
    random_source random(1);
    for (const std::size_t flows : {0U, 10U, 100U, 500U})
    {
        handover handover_message{session, 10, 1, true, version, session, {}};
        handover_message.state.buckets = {{1234}};
        for (std::size_t i = 0; i < flows; ++i)
        {
            handover_message.state.exceptions.push_back(
                {{{{static_cast<std::uint32_t>(random.next())},
                   static_cast<std::uint16_t>(random.next())},
                  {{first_public_address +
                    static_cast<std::uint32_t>(random.below(6100))},
                   443},
                  protocol::tcp},
                 {static_cast<std::uint32_t>(random.below(24000))}});
        }
        print_row("message.handover_one_bucket", flows,
                  wire_bytes(handover_message), "B");
        replicate update_message{.session = session,
                                 .sequence = 1000,
                                 .in_effect = version,
                                 .state = handover_message.state};
        update_message.state.buckets.clear();
        print_row("message.replicate", flows, wire_bytes(update_message), "B");
    }
    for (const std::size_t changes : {1U, 4U, 10U, 32U})
    {
        print_update_size(changes);
    }
}

/// Measures the target updates that one VM sends to each other VM while all
/// targets that it polls are warm and their load does not change. Values are
/// means over the last 20 of 30 minutes.
void measure_updates()
{
    for (const std::uint32_t target_count : {5U, 10U, 20U})
    {
        published_objects objects = make_objects(target_count, 1);
        for (target& each : objects.targets)
        {
            each.data_centre = {1};
        }
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_set(
            std::make_shared<const published_set>(std::move(objects)),
            start_time);
        registry.apply_steward_view(make_steward_view(1, start_time),
                                    start_time);
        double bytes = 0;
        double messages = 0;
        for (instant now = start_time; now < start_time + 1800s; now += 100ms)
        {
            if (now - start_time >= 600s && now - start_time < 600s + 100ms)
            {
                bytes = 0;
                messages = 0;
            }
            steward_view view = make_steward_view(1, now);
            view.listed_since = start_time;
            registry.apply_steward_view(view, now);
            registry.tick(now);
            for (const target_id id : registry.targets_to_poll(now))
            {
                registry.apply_report(
                    id, load_report{7, report_state::ready, 100, 0}, 0, now);
            }
            const target_update update_message = registry.take_updates(now);
            if (!update_message.changes.empty())
            {
                ++messages;
                bytes += wire_bytes(update_message);
            }
        }
        print_row("news.steady_messages_per_peer", target_count,
                  messages / 1200, "1/s");
        print_row("news.steady_bytes_per_peer", target_count, bytes / 1200,
                  "B/s");
    }
}

void measure_vm_lists()
{
    for (const std::uint32_t vm_count : {144U, 575U, 1150U, 2300U})
    {
        const std::string text = make_vm_list_text(vm_count);
        print_row("list.bytes", vm_count, static_cast<double>(text.size()),
                  "B");
        bool parsed = true;
        print_row(
            "list.parse", vm_count,
            min_milliseconds_of(
                3, [&] { parsed = parsed && parse_vm_list(text, start_time); }),
            "ms");
        if (!parsed)
        {
            std::puts("# the list is refused");
        }
    }
}

void measure_documents()
{
    for (const std::uint32_t target_count : {6000U, 12000U, 24000U})
    {
        for (const std::size_t ids_per_chunk : {64U, 128U, 256U, 512U})
        {
            const set_documents documents =
                split_set(make_objects(target_count, 1), ids_per_chunk);
            double total_bytes = 0;
            double max_chunk_bytes = 0;
            for (const auto& chunk : documents.chunks)
            {
                const auto bytes = static_cast<double>(chunk.text.size());
                total_bytes += bytes;
                max_chunk_bytes = std::max(max_chunk_bytes, bytes);
            }
            const std::string suffix = std::to_string(ids_per_chunk);
            print_row(("documents.index_per" + suffix).c_str(), target_count,
                      static_cast<double>(documents.index.size()), "B");
            print_row(("documents.chunk_per" + suffix).c_str(), target_count,
                      max_chunk_bytes, "B");
            print_row(("documents.set_per" + suffix).c_str(), target_count,
                      total_bytes, "B");
        }
    }
}

} // namespace capacity
