// Bytes of control messages and documents at the size to design for.

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

constexpr instant start{1000s};

/// With envelope and TCP/IP headers, as the byte budget counts it.
double wire_bytes(const message& content)
{
    return static_cast<double>(encode_message(content).size() + envelope_size +
                               header_cost.value);
}

void print_update_of(std::size_t changes)
{
    random_source random(1);
    target_update update;
    for (std::size_t i = 0; i < changes; ++i)
    {
        update.changes.push_back(
            {.id = {static_cast<std::uint32_t>(random.below(24000))},
             .instance = random.next() >> 1U,
             .connections = 1234,
             .busy_slots = 2,
             .warm = true,
             .sequence = 1'796'000'000'000'000'000 + i});
    }
    print_row("message.target_news", changes, wire_bytes(update), "B");
}

std::string list_text(std::uint32_t vms)
{
    std::string text;
    for (const listed_vm& each : make_list(vms, start).vms)
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
        handover offer{session, 10, 1, true, version, session, {}};
        offer.state.buckets = {{1234}};
        for (std::size_t i = 0; i < flows; ++i)
        {
            offer.state.exceptions.push_back(
                {{{{static_cast<std::uint32_t>(random.next())},
                   static_cast<std::uint16_t>(random.next())},
                  {{first_public_address +
                    static_cast<std::uint32_t>(random.below(6100))},
                   443},
                  protocol::tcp},
                 {static_cast<std::uint32_t>(random.below(24000))}});
        }
        print_row("message.handover_one_bucket", flows, wire_bytes(offer), "B");
        replicate update{.session = session,
                         .sequence = 1000,
                         .in_effect = version,
                         .state = offer.state};
        update.state.buckets.clear();
        print_row("message.replicate", flows, wire_bytes(update), "B");
    }
    for (const std::size_t changes : {1U, 4U, 10U, 32U})
    {
        print_update_of(changes);
    }
}

/// Ten targets polled by one VM, warm and with a steady load: what refreshing
/// costs in ten minutes, in news to one other VM.
void measure_updates()
{
    for (const std::uint32_t targets : {5U, 10U, 20U})
    {
        published_objects objects = make_objects(targets, 1);
        for (target& each : objects.targets)
        {
            each.data_centre = {1};
        }
        target_registry registry(std::make_shared<steward_rule>(), 1);
        registry.apply_set(
            std::make_shared<const published_set>(std::move(objects)), start);
        registry.apply_steward_view(make_stewardship(1, start), start);
        double bytes = 0;
        double messages = 0;
        for (instant now = start; now < start + 1800s; now += 100ms)
        {
            if (now - start >= 600s && now - start < 600s + 100ms)
            {
                bytes = 0;
                messages = 0;
            }
            steward_view view = make_stewardship(1, now);
            view.listed_since = start;
            registry.apply_steward_view(view, now);
            registry.tick(now);
            for (const target_id id : registry.targets_to_poll(now))
            {
                registry.apply_report(
                    id, load_report{7, report_state::ready, 100, 0}, 0, now);
            }
            const target_update update = registry.take_updates(now);
            if (!update.changes.empty())
            {
                ++messages;
                bytes += wire_bytes(update);
            }
        }
        print_row("news.steady_messages_per_peer", targets, messages / 1200,
                  "1/s");
        print_row("news.steady_bytes_per_peer", targets, bytes / 1200, "B/s");
    }
}

void measure_lists()
{
    for (const std::uint32_t vms : {144U, 575U, 1150U, 2300U})
    {
        const std::string text = list_text(vms);
        print_row("list.bytes", vms, static_cast<double>(text.size()), "B");
        bool parsed = true;
        print_row(
            "list.parse", vms,
            least_milliseconds_of(
                3, [&] { parsed = parsed && parse_vm_list(text, start); }),
            "ms");
        if (!parsed)
        {
            std::puts("# the list is refused");
        }
    }
}

void measure_documents()
{
    for (const std::uint32_t targets : {6000U, 12000U, 24000U})
    {
        for (const std::size_t per_chunk : {64U, 128U, 256U, 512U})
        {
            const set_documents made =
                split_set(make_objects(targets, 1), per_chunk);
            double total = 0;
            double targets_chunk = 0;
            for (const auto& chunk : made.chunks)
            {
                const auto bytes = static_cast<double>(chunk.text.size());
                total += bytes;
                targets_chunk = std::max(targets_chunk, bytes);
            }
            const std::string suffix = std::to_string(per_chunk);
            print_row(("documents.index_per" + suffix).c_str(), targets,
                      static_cast<double>(made.index.size()), "B");
            print_row(("documents.chunk_per" + suffix).c_str(), targets,
                      targets_chunk, "B");
            print_row(("documents.set_per" + suffix).c_str(), targets, total,
                      "B");
        }
    }
}

} // namespace capacity
