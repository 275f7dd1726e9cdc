// Measures the flow state of one VM in a group of 575: memory, exceptions,
// replication and handover.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/envelope.hpp"
#include "catkinkeel/testing/fake_balancer_group.hpp"

#include <cmath>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "measure/design_size.hpp"

using namespace catkinkeel;

namespace capacity
{

namespace
{

constexpr instant start_time{1000s};
constexpr std::uint32_t fleet_size = 2300;
/// At the design size 61 million flows are open and 160,000 are opened per
/// second.
constexpr double mean_flow_lifetime_seconds = 381;
constexpr duration message_period = 20ms;
/// The share of a control budget of 2,048 B/s that the daemon allows for flow
/// messages. Up to 20 s of it may be sent at once.
constexpr double flow_bytes_per_second = 0.6 * 2048;
constexpr double flow_burst_bytes = 20 * flow_bytes_per_second;

double wire_bytes(const flow_message& content)
{
    const message wire_message =
        std::visit([](const auto& each) -> message { return each; }, content);
    return static_cast<double>(encode_message(wire_message).size() +
                               envelope_size + header_overhead.value);
}

published_set_ptr make_set(std::uint32_t target_count,
                           std::uint32_t connections)
{
    published_objects objects = make_objects(target_count, 1);
    for (target& each : objects.targets)
    {
        each.connections = connections;
    }
    return std::make_shared<const published_set>(std::move(objects));
}

struct open_flow
{
    packet_facts facts;
    instant end_time;
};

/// Simulates VM 1 of the fleet with the buckets that it owns. The other VMs of
/// the group immediately answer its claims with empty handovers and acknowledge
/// its replication and handover messages.
class single_vm_simulation
{
public:
    /// `connections` is the limit of each target for the flows of all VMs.
    single_vm_simulation(std::uint32_t target_count, std::uint32_t vm_count,
                         std::uint32_t connections)
        : target_count_(target_count),
          set_(make_set(target_count, connections)),
          core_({}, {1}, {1}, 1, admission_limits_)
    {
        core_.apply_set(set_, core_.make_plan(*set_), now_);
        core_.apply_view(make_view(vm_count), now_);
        core_.set_opening_allowed(true);
        exchange_messages(1e9);
        exchange_messages(1e9);
        reset_counters();
    }

    balancer& core()
    {
        return core_;
    }
    [[nodiscard]] instant now() const
    {
        return now_;
    }
    void reset_counters()
    {
        message_bytes_ = 0;
        messages_ = 0;
        exceptions_sent_ = 0;
        handovers_ = 0;
        handover_bytes_ = 0;
        refused_ = 0;
        decide_ms_ = 0;
        control_ms_ = 0;
    }
    [[nodiscard]] double message_bytes() const
    {
        return message_bytes_;
    }
    [[nodiscard]] double messages() const
    {
        return messages_;
    }
    [[nodiscard]] double exceptions_sent() const
    {
        return exceptions_sent_;
    }
    [[nodiscard]] double handovers() const
    {
        return handovers_;
    }
    [[nodiscard]] double handover_bytes() const
    {
        return handover_bytes_;
    }
    [[nodiscard]] double refused() const
    {
        return refused_;
    }
    [[nodiscard]] double decide_ms() const
    {
        return decide_ms_;
    }
    [[nodiscard]] double control_ms() const
    {
        return control_ms_;
    }

    /// Opens a flow in a bucket that VM 1 holds. Its lifetime is exponentially
    /// distributed.
    void open()
    {
        packet_facts facts;
        do
        {
            facts = {.key = {{{static_cast<std::uint32_t>(random_.next())},
                              static_cast<std::uint16_t>(random_.next())},
                             {{first_public_address + 1 +
                               static_cast<std::uint32_t>(random_.below(
                                   reference_count_for(target_count_)))},
                              443},
                             protocol::tcp},
                     .phase = flow_phase::opening};
        } while (!core_.holds(bucket_of(hash_flow(facts.key))));
        decide(facts);
        facts.phase = flow_phase::established;
        const double lifetime_seconds =
            -mean_flow_lifetime_seconds * std::log(1 - random_.unit());
        flows_.push_back({facts, now_ + std::chrono::duration_cast<duration>(
                                            std::chrono::duration<double>(
                                                lifetime_seconds))});
    }

    /// Sends a packet for each of the next `count` flows in turn. A flow past
    /// its end time sends its last packet and is removed.
    void send_packets(std::size_t count)
    {
        for (std::size_t i = 0; i < count && !flows_.empty(); ++i)
        {
            open_flow flow = flows_.front();
            flows_.pop_front();
            if (flow.end_time <= now_)
            {
                flow.facts.phase = flow_phase::finishing;
            }
            decide(flow.facts);
            if (flow.end_time > now_)
            {
                flows_.push_back(flow);
            }
        }
    }

    /// Advances the time in steps of `message_period` and opens
    /// `flows_per_second` flows. Each open flow sends a packet every 60 s.
    void run_for(duration time, double flows_per_second)
    {
        const instant end_of_run = now_ + time;
        for (std::uint64_t step = 0; now_ < end_of_run; ++step)
        {
            now_ += message_period;
            const double seconds =
                std::chrono::duration<double>(message_period).count();
            flows_due_ += flows_per_second * seconds;
            for (; flows_due_ >= 1; --flows_due_)
            {
                open();
            }
            packets_due_ += static_cast<double>(flows_.size()) * seconds / 60;
            const double packets = std::floor(packets_due_);
            packets_due_ -= packets;
            send_packets(static_cast<std::size_t>(packets));
            budget_bytes_ =
                std::min(flow_burst_bytes,
                         budget_bytes_ + flow_bytes_per_second * seconds);
            budget_bytes_ -= exchange_messages(budget_bytes_);
            if (step % 5 == 0)
            {
                control_ms_ += milliseconds_of([&] { core_.tick(now_); });
            }
        }
    }

    [[nodiscard]] std::size_t open_flows() const
    {
        return flows_.size();
    }

    /// Takes the messages due now, at most `byte_limit` bytes of replication
    /// and handovers, and handles the peers' replies. Returns the bytes sent.
    double exchange_messages(double byte_limit)
    {
        std::vector<outgoing_flow_message> outgoing;
        control_ms_ += milliseconds_of(
            [&]
            {
                outgoing = core_.take_messages(
                    {static_cast<std::uint64_t>(std::max(0.0, byte_limit))},
                    now_);
            });
        double bytes = 0;
        for (const outgoing_flow_message& each : outgoing)
        {
            bytes += wire_bytes(each.content);
            ++messages_;
            simulate_reply(each);
        }
        message_bytes_ += bytes;
        return bytes;
    }

private:
    void decide(const packet_facts& facts)
    {
        verdict decided;
        decide_ms_ +=
            milliseconds_of([&] { decided = core_.decide(facts, now_); });
        refused_ += std::holds_alternative<refuse>(decided) ? 1 : 0;
    }

    void simulate_reply(const outgoing_flow_message& outgoing)
    {
        flow_message reply;
        if (const auto* received_claim = std::get_if<claim>(&outgoing.content))
        {
            reply = handover{received_claim->session,
                             received_claim->round,
                             1,
                             true,
                             received_claim->in_effect,
                             received_claim->map_fingerprint,
                             {}};
        }
        else if (const auto* received_update =
                     std::get_if<replicate>(&outgoing.content))
        {
            exceptions_sent_ +=
                static_cast<double>(received_update->state.exceptions.size());
            reply = replicate_ack{received_update->session,
                                  received_update->sequence};
        }
        else if (const auto* received_handover =
                     std::get_if<handover>(&outgoing.content))
        {
            ++handovers_;
            handover_bytes_ += wire_bytes(outgoing.content);
            reply = handover_ack{received_handover->session,
                                 received_handover->round,
                                 received_handover->sequence};
        }
        else
        {
            return;
        }
        control_ms_ +=
            milliseconds_of([&] { core_.handle(outgoing.to, reply, now_); });
    }

    std::uint32_t target_count_;
    instant now_ = start_time;
    published_set_ptr set_;
    testing::fake_admission_limits admission_limits_;
    balancer core_;
    random_source random_{1};
    std::deque<open_flow> flows_;
    double flows_due_ = 0;
    double packets_due_ = 0;
    double budget_bytes_ = flow_burst_bytes;
    double message_bytes_ = 0;
    double messages_ = 0;
    double exceptions_sent_ = 0;
    double handovers_ = 0;
    double handover_bytes_ = 0;
    double refused_ = 0;
    double decide_ms_ = 0;
    double control_ms_ = 0;
};

} // namespace

void measure_flow_memory()
{
    for (const std::size_t flows : {26522U, 45000U, 98000U, 262144U, 1000000U})
    {
        const double before = heap_bytes();
        const flow_table table(flows);
        const double bytes = heap_bytes() - before;
        print_row("flow_table.memory", flows, bytes / 1024 / 1024, "MB");
        print_row("flow_table.bytes_per_flow", flows,
                  bytes / static_cast<double>(flows), "B");
    }
    for (const std::size_t flows : {6600U, 13300U, 26522U, 53000U})
    {
        const double before = heap_bytes();
        single_vm_simulation simulation(24000, fleet_size, 4000);
        print_row("balancer.memory_empty", flows,
                  (heap_bytes() - before) / 1024 / 1024, "MB");
        for (std::size_t i = 0; i < flows; ++i)
        {
            simulation.open();
        }
        print_row("balancer.memory_filled", flows,
                  (heap_bytes() - before) / 1024 / 1024, "MB");
    }
}

namespace
{

void print_steady_state(single_vm_simulation& simulation,
                        double flows_per_second, std::uint64_t flow_count,
                        const char* prefix)
{
    simulation.run_for(600s, flows_per_second);
    simulation.reset_counters();
    const balancer_stats before = simulation.core().stats();
    simulation.run_for(600s, flows_per_second);
    const balancer_stats after = simulation.core().stats();
    const auto opened =
        static_cast<double>(after.flows_opened - before.flows_opened);
    const auto print = [&](const char* name, double value, const char* unit)
    {
        print_row((std::string(prefix) + name).c_str(), flow_count, value,
                  unit);
    };
    print("buckets_held", static_cast<double>(after.buckets_held), "1");
    print("flows", static_cast<double>(after.flows), "1");
    print("opened", opened / 600, "1/s");
    print("refused", simulation.refused() / 600, "1/s");
    print("share",
          100 *
              static_cast<double>(after.exceptions_opened -
                                  before.exceptions_opened) /
              std::max(1.0, opened),
          "%");
    print("backlog", static_cast<double>(after.replication_backlog), "flows");
    print("told", simulation.exceptions_sent() / 600, "1/s");
    print("messages", simulation.messages() / 600, "1/s");
    print("bytes", simulation.message_bytes() / 600, "B/s");
    print("ack_bytes",
          simulation.messages() / 600 * wire_bytes(replicate_ack{1, 1000}),
          "B/s");
    print("decide_cpu", simulation.decide_ms() / 6000, "% of a core");
    print("control_cpu", simulation.control_ms() / 6000, "% of a core");
}

} // namespace

/// Runs the VM for 20 minutes at a multiple of its share of the design load and
/// prints values of the last 10 minutes. Its share is that of the buckets that
/// it holds.
void measure_exceptions()
{
    constexpr double region_flows_per_second = 160000.0 / 4;
    for (const std::uint32_t connections : {2000U, 4000U, 8000U})
    {
        for (const double load_factor : {0.25, 0.5, 1.0, 2.0})
        {
            single_vm_simulation simulation(24000, fleet_size, connections);
            const double flows_per_second =
                region_flows_per_second * load_factor / bucket_count *
                static_cast<double>(simulation.core().stats().buckets_held);
            const auto flow_count = static_cast<std::uint64_t>(
                flows_per_second * mean_flow_lifetime_seconds);
            for (std::uint64_t i = 0; i < flow_count; ++i)
            {
                simulation.open();
                if (i % 100 == 0)
                {
                    simulation.exchange_messages(1e9);
                }
            }
            print_steady_state(
                simulation, flows_per_second, flow_count,
                ("exceptions_" + std::to_string(connections) + ".").c_str());
        }
    }
}

/// VM 1 leaves, and the new owners of its buckets claim them.
void measure_handover()
{
    for (const std::uint64_t flows : {6600U, 13300U, 26522U, 53000U})
    {
        single_vm_simulation simulation(24000, fleet_size, 8000);
        for (std::uint64_t i = 0; i < flows; ++i)
        {
            simulation.open();
            if (i % 100 == 0)
            {
                simulation.exchange_messages(1e9);
            }
        }
        simulation.run_for(60s, 0);
        member_view view_without_vm = make_view(fleet_size);
        view_without_vm.revision = 2;
        view_without_vm.members.front().state = liveness::left;
        balancer& core = simulation.core();
        const instant left_at = simulation.now();
        print_row(
            "handover.view_change", flows,
            milliseconds_of([&] { core.apply_view(view_without_vm, left_at); }),
            "ms");
        std::set<vm_id> claimants;
        for (std::uint32_t i = 0; i < bucket_count; ++i)
        {
            const bucket_id bucket{static_cast<std::uint16_t>(i)};
            if (core.holds(bucket))
            {
                claimants.insert(*core.map().owner(bucket));
            }
        }
        simulation.reset_counters();
        for (const vm_id each : claimants)
        {
            core.handle(each, claim{1, 1, {1}, core.map().fingerprint()},
                        left_at);
        }
        while (core.stats().buckets_held > 0 &&
               simulation.now() - left_at < 600s)
        {
            simulation.run_for(message_period, 0);
        }
        const double seconds =
            std::chrono::duration<double>(simulation.now() - left_at).count();
        print_row("handover.claimants", flows,
                  static_cast<double>(claimants.size()), "1");
        print_row("handover.messages", flows, simulation.handovers(), "1");
        print_row("handover.bytes", flows, simulation.handover_bytes(), "B");
        print_row("handover.all_bytes", flows, simulation.message_bytes(), "B");
        print_row("handover.time", flows, seconds, "s");
        print_row("handover.cpu", flows, simulation.control_ms(), "ms");
        print_row("handover.buckets_left", flows,
                  static_cast<double>(core.stats().buckets_held), "1");
    }
}

} // namespace capacity
