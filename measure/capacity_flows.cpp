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
    lone_holder(std::uint32_t targets, std::uint32_t vms)
        : targets_(targets),
          set_(std::make_shared<const published_set>(make_objects(targets, 1))),
          core_({}, {1}, {1}, 1, bearings_)
    {
        core_.apply_set(set_, core_.make_plan(*set_), now_);
        core_.apply_view(make_view(vms), now_);
        core_.allow_opening(true);
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
        std::vector<flow_outgoing> sent;
        control_ms_ += milliseconds_of(
            [&]
            {
                sent = core_.take_messages(
                    {static_cast<std::uint64_t>(std::max(0.0, budget))}, now_);
            });
        double bytes = 0;
        for (const flow_outgoing& each : sent)
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
        decide_ms_ += milliseconds_of(
            [&] { static_cast<void>(core_.decide(facts, now_)); });
    }

    void answer(const flow_outgoing& sent)
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
    testing::fake_bearings bearings_;
    balancer core_;
    random_source random_{1};
    std::deque<open_flow> flows_;
    double due_ = 0;
    double due_packets_ = 0;
    double budget_ = flow_burst;
    double message_bytes_ = 0;
    double messages_ = 0;
    double exceptions_sent_ = 0;
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
        lone_holder holder(24000, fleet);
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

/// The VM at a multiple of the design load for 20 minutes; the figures are of
/// the last 10.
void measure_exceptions()
{
    constexpr double design_rate = 160000.0 / fleet;
    for (const double load : {0.25, 0.5, 1.0, 2.0})
    {
        lone_holder holder(24000, fleet);
        const double rate = design_rate * load;
        const auto size = static_cast<std::uint64_t>(rate * flow_lifetime);
        for (std::uint64_t i = 0; i < size; ++i)
        {
            holder.open();
            if (i % 100 == 0)
            {
                holder.exchange(1e9);
            }
        }
        holder.run(600s, rate);
        holder.reset();
        const balancer_stats before = holder.core().stats();
        holder.run(600s, rate);
        const balancer_stats after = holder.core().stats();
        const auto opened =
            static_cast<double>(after.flows_opened - before.flows_opened);
        print_row("exceptions.buckets_held", size,
                  static_cast<double>(after.buckets_held), "1");
        print_row("exceptions.flows", size, static_cast<double>(after.flows),
                  "1");
        print_row("exceptions.opened", size, opened / 600, "1/s");
        print_row("exceptions.share", size,
                  100 *
                      static_cast<double>(after.exceptions_opened -
                                          before.exceptions_opened) /
                      opened,
                  "%");
        print_row("exceptions.backlog", size,
                  static_cast<double>(after.replication_backlog), "flows");
        print_row("exceptions.told", size, holder.exceptions_sent() / 600,
                  "1/s");
        print_row("exceptions.messages", size, holder.messages() / 600, "1/s");
        print_row("exceptions.bytes", size, holder.message_bytes() / 600,
                  "B/s");
        print_row("exceptions.ack_bytes", size,
                  holder.messages() / 600 * wire_bytes(replicate_ack{1, 1000}),
                  "B/s");
        print_row("exceptions.decide_cpu", size, holder.decide_ms() / 6000,
                  "% of a core");
        print_row("exceptions.control_cpu", size, holder.control_ms() / 6000,
                  "% of a core");
    }
}

/// VM 1 leaves; its buckets go to the other VMs of the group, which claim them.
void measure_handover()
{
    constexpr std::uint32_t group_region = 4;
    for (const std::uint64_t flows : {6600U, 13300U, 26522U, 53000U})
    {
        lone_holder holder(24000, fleet);
        for (std::uint64_t i = 0; i < flows; ++i)
        {
            holder.open();
        }
        member_view without = make_view(fleet);
        without.revision = 2;
        without.members.front().state = liveness::left;
        balancer& core = holder.core();
        const double leave_ms =
            milliseconds_of([&] { core.apply_view(without, holder.now()); });
        double handle_ms = 0;
        double bytes = 0;
        double answers = 0;
        double claims = 0;
        instant now = holder.now();
        double budget = flow_burst;
        bool asked = false;
        while (core.stats().buckets_held > 0 && now < holder.now() + 600s)
        {
            now += message_period;
            budget =
                std::min(flow_burst, budget + flow_bytes_per_second * 0.02);
            for (std::uint32_t vm = 2; vm <= fleet && !asked; ++vm)
            {
                if ((data_centre_of(vm).value - 1) / group_region == 0)
                {
                    ++claims;
                    handle_ms += milliseconds_of(
                        [&] {
                            core.handle(
                                {vm},
                                claim{1, 1, {1}, core.map().fingerprint()},
                                now);
                        });
                }
            }
            asked = true;
            std::vector<flow_outgoing> sent;
            handle_ms += milliseconds_of(
                [&]
                {
                    sent = core.take_messages(
                        {static_cast<std::uint64_t>(std::max(0.0, budget))},
                        now);
                });
            for (const flow_outgoing& each : sent)
            {
                const double size = wire_bytes(each.content);
                bytes += size;
                budget -= size;
                if (const auto* offer = std::get_if<handover>(&each.content))
                {
                    ++answers;
                    const handover_ack ack{offer->session, offer->round,
                                           offer->sequence};
                    handle_ms += milliseconds_of(
                        [&] { core.handle(each.to, ack, now); });
                }
            }
        }
        const auto size = static_cast<std::uint64_t>(flows);
        print_row("handover.view_change", size, leave_ms, "ms");
        print_row("handover.claims", size, claims, "1");
        print_row("handover.answers", size, answers, "1");
        print_row("handover.bytes", size, bytes, "B");
        print_row("handover.virtual_time", size,
                  std::chrono::duration<double>(now - holder.now()).count(),
                  "s");
        print_row("handover.cpu", size, handle_ms, "ms");
        print_row("handover.buckets_left", size,
                  static_cast<double>(core.stats().buckets_held), "1");
    }
}

} // namespace capacity
