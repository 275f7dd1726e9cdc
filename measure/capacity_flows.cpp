// Flow state of one VM of a group of 575: memory, exceptions, replication and
// handover.

#include "catkinkeel/base/hash.hpp"
#include "catkinkeel/base/random.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/envelope.hpp"
#include "catkinkeel/testing/fake_group.hpp"

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

constexpr instant start{1000s};
constexpr std::uint32_t fleet = 2300;
/// 61 million flows / 160,000 new ones a second.
constexpr double flow_lifetime = 381;
constexpr duration message_period = 20ms;
/// What `decider::send_flow_messages` allows at 2,048 B/s.
constexpr double flow_bytes_per_second = 0.6 * 2048;
constexpr double flow_burst = 20 * flow_bytes_per_second;

double wire_bytes(const flow_message& content)
{
    const message whole =
        std::visit([](const auto& each) -> message { return each; }, content);
    return static_cast<double>(encode_message(whole).size() + envelope_size +
                               header_cost.value);
}

published_set_ptr make_set(std::uint32_t targets, std::uint32_t connections)
{
    published_objects objects = make_objects(targets, 1);
    for (target& each : objects.targets)
    {
        each.connections = connections;
    }
    return std::make_shared<const published_set>(std::move(objects));
}

struct open_flow
{
    packet_facts facts;
    instant ends;
};

/// VM 1 of the fleet with the buckets that it owns. The other VMs of the group
/// answer its claims at once with nothing and acknowledge all else.
class lone_holder
{
public:
    /// Each target bears `connections` flows of all VMs together.
    lone_holder(std::uint32_t targets, std::uint32_t vms,
                std::uint32_t connections)
        : targets_(targets),
          set_(make_set(targets, connections)),
          core_({}, {1}, {1}, 1, admission_limits_)
    {
        core_.apply_set(set_, core_.make_plan(*set_), now_);
        core_.apply_view(make_view(vms), now_);
        core_.set_opening_allowed(true);
        exchange(1e9);
        exchange(1e9);
        reset();
    }

    balancer& core()
    {
        return core_;
    }
    [[nodiscard]] instant now() const
    {
        return now_;
    }
    void reset()
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

    /// Opens a flow of a bucket held here that ends after a random lifetime.
    void open()
    {
        packet_facts facts;
        do
        {
            facts = {.key = {{{static_cast<std::uint32_t>(random_.next())},
                              static_cast<std::uint16_t>(random_.next())},
                             {{first_public_address + 1 +
                               static_cast<std::uint32_t>(
                                   random_.below(references_of(targets_)))},
                              443},
                             protocol::tcp},
                     .phase = flow_phase::opening};
        } while (!core_.holds(bucket_of(hash_flow(facts.key))));
        decide(facts);
        facts.phase = flow_phase::established;
        const double life = -flow_lifetime * std::log(1 - random_.unit());
        flows_.push_back(
            {facts, now_ + std::chrono::duration_cast<duration>(
                               std::chrono::duration<double>(life))});
    }

    /// Each flow sends a packet every 60 s; those whose time has come end.
    void send_packets(std::size_t count)
    {
        for (std::size_t i = 0; i < count && !flows_.empty(); ++i)
        {
            open_flow next = flows_.front();
            flows_.pop_front();
            if (next.ends <= now_)
            {
                next.facts.phase = flow_phase::finishing;
            }
            decide(next.facts);
            if (next.ends > now_)
            {
                flows_.push_back(next);
            }
        }
    }

    /// Moves time on with `rate` new flows a second.
    void run(duration time, double rate)
    {
        const instant end = now_ + time;
        for (std::uint64_t step = 0; now_ < end; ++step)
        {
            now_ += message_period;
            const double seconds =
                std::chrono::duration<double>(message_period).count();
            due_ += rate * seconds;
            for (; due_ >= 1; --due_)
            {
                open();
            }
            due_packets_ += static_cast<double>(flows_.size()) * seconds / 60;
            const double packets = std::floor(due_packets_);
            due_packets_ -= packets;
            send_packets(static_cast<std::size_t>(packets));
            budget_ =
                std::min(flow_burst, budget_ + flow_bytes_per_second * seconds);
            budget_ -= exchange(budget_);
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

    /// Gives all messages of one turn to the peers and their answers back.
    double exchange(double budget)
    {
        std::vector<outgoing_flow_message> sent;
        control_ms_ += milliseconds_of(
            [&]
            {
                sent = core_.take_messages(
                    {static_cast<std::uint64_t>(std::max(0.0, budget))}, now_);
            });
        double bytes = 0;
        for (const outgoing_flow_message& each : sent)
        {
            bytes += wire_bytes(each.content);
            ++messages_;
            answer(each);
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

    void answer(const outgoing_flow_message& sent)
    {
        flow_message reply;
        if (const auto* asked = std::get_if<claim>(&sent.content))
        {
            reply = handover{asked->session,   asked->round,           1, true,
                             asked->in_effect, asked->map_fingerprint, {}};
        }
        else if (const auto* update = std::get_if<replicate>(&sent.content))
        {
            exceptions_sent_ +=
                static_cast<double>(update->state.exceptions.size());
            reply = replicate_ack{update->session, update->sequence};
        }
        else if (const auto* offer = std::get_if<handover>(&sent.content))
        {
            ++handovers_;
            handover_bytes_ += wire_bytes(sent.content);
            reply = handover_ack{offer->session, offer->round, offer->sequence};
        }
        else
        {
            return;
        }
        control_ms_ +=
            milliseconds_of([&] { core_.handle(sent.to, reply, now_); });
    }

    std::uint32_t targets_;
    instant now_ = start;
    published_set_ptr set_;
    testing::fake_admission_limits admission_limits_;
    balancer core_;
    random_source random_{1};
    std::deque<open_flow> flows_;
    double due_ = 0;
    double due_packets_ = 0;
    double budget_ = flow_burst;
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
        lone_holder holder(24000, fleet, 4000);
        print_row("balancer.memory_empty", flows,
                  (heap_bytes() - before) / 1024 / 1024, "MB");
        for (std::size_t i = 0; i < flows; ++i)
        {
            holder.open();
        }
        print_row("balancer.memory_filled", flows,
                  (heap_bytes() - before) / 1024 / 1024, "MB");
    }
}

namespace
{

void print_steady_state(lone_holder& holder, double rate, std::uint64_t size,
                        const char* prefix)
{
    holder.run(600s, rate);
    holder.reset();
    const balancer_stats before = holder.core().stats();
    holder.run(600s, rate);
    const balancer_stats after = holder.core().stats();
    const auto opened =
        static_cast<double>(after.flows_opened - before.flows_opened);
    const auto print = [&](const char* name, double value, const char* unit)
    {
        print_row((std::string(prefix) + name).c_str(), size, value, unit);
    };
    print("buckets_held", static_cast<double>(after.buckets_held), "1");
    print("flows", static_cast<double>(after.flows), "1");
    print("opened", opened / 600, "1/s");
    print("refused", holder.refused() / 600, "1/s");
    print("share",
          100 *
              static_cast<double>(after.exceptions_opened -
                                  before.exceptions_opened) /
              std::max(1.0, opened),
          "%");
    print("backlog", static_cast<double>(after.replication_backlog), "flows");
    print("told", holder.exceptions_sent() / 600, "1/s");
    print("messages", holder.messages() / 600, "1/s");
    print("bytes", holder.message_bytes() / 600, "B/s");
    print("ack_bytes",
          holder.messages() / 600 * wire_bytes(replicate_ack{1, 1000}), "B/s");
    print("decide_cpu", holder.decide_ms() / 6000, "% of a core");
    print("control_cpu", holder.control_ms() / 6000, "% of a core");
}

} // namespace

/// The VM at a part or a multiple of its share of the design load, by the
/// buckets that it holds, for 20 minutes; the figures are of the last 10.
void measure_exceptions()
{
    constexpr double region_rate = 160000.0 / 4;
    for (const std::uint32_t connections : {2000U, 4000U, 8000U})
    {
        for (const double load : {0.25, 0.5, 1.0, 2.0})
        {
            lone_holder holder(24000, fleet, connections);
            const double rate =
                region_rate * load / bucket_count *
                static_cast<double>(holder.core().stats().buckets_held);
            const auto size = static_cast<std::uint64_t>(rate * flow_lifetime);
            for (std::uint64_t i = 0; i < size; ++i)
            {
                holder.open();
                if (i % 100 == 0)
                {
                    holder.exchange(1e9);
                }
            }
            print_steady_state(
                holder, rate, size,
                ("exceptions_" + std::to_string(connections) + ".").c_str());
        }
    }
}

/// VM 1 leaves; the new owners of its buckets claim them.
void measure_handover()
{
    for (const std::uint64_t flows : {6600U, 13300U, 26522U, 53000U})
    {
        lone_holder holder(24000, fleet, 8000);
        for (std::uint64_t i = 0; i < flows; ++i)
        {
            holder.open();
            if (i % 100 == 0)
            {
                holder.exchange(1e9);
            }
        }
        holder.run(60s, 0);
        member_view without = make_view(fleet);
        without.revision = 2;
        without.members.front().state = liveness::left;
        balancer& core = holder.core();
        const instant left_at = holder.now();
        print_row("handover.view_change", flows,
                  milliseconds_of([&] { core.apply_view(without, left_at); }),
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
        holder.reset();
        for (const vm_id each : claimants)
        {
            core.handle(each, claim{1, 1, {1}, core.map().fingerprint()},
                        left_at);
        }
        while (core.stats().buckets_held > 0 && holder.now() - left_at < 600s)
        {
            holder.run(message_period, 0);
        }
        const double seconds =
            std::chrono::duration<double>(holder.now() - left_at).count();
        print_row("handover.claimants", flows,
                  static_cast<double>(claimants.size()), "1");
        print_row("handover.messages", flows, holder.handovers(), "1");
        print_row("handover.bytes", flows, holder.handover_bytes(), "B");
        print_row("handover.all_bytes", flows, holder.message_bytes(), "B");
        print_row("handover.time", flows, seconds, "s");
        print_row("handover.cpu", flows, holder.control_ms(), "ms");
        print_row("handover.buckets_left", flows,
                  static_cast<double>(core.stats().buckets_held), "1");
    }
}

} // namespace capacity
