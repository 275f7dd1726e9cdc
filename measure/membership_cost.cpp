// Measures in virtual time the membership traffic of a VM and the time until a
// dead VM is detected.
//
// Usage: membership_cost [seed]

#include "catkinkeel/link/byte_budget.hpp"
#include "catkinkeel/link/codec.hpp"
#include "catkinkeel/link/envelope.hpp"
#include "catkinkeel/testing/vm_network.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <type_traits>
#include <variant>
#include <vector>

using namespace catkinkeel;
using catkinkeel::testing::vm_network;

namespace
{

struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t bytes_with_headers = 0;
};

class traffic_meter
{
public:
    explicit traffic_meter(vm_network& network)
    {
        network.on_send = [this](vm_id from, const outgoing_vm_message& sent)
        {
            const message content = std::visit(
                [](const auto& each) { return message(each); }, sent.content);
            const auto size = encode_message(content).size() + envelope_size;
            traffic& total = totals_[from];
            ++total.messages;
            total.bytes += size;
            total.bytes_with_headers += size + header_overhead.value;
        };
    }

    void reset()
    {
        totals_.clear();
    }

    /// Prints the traffic per second: mean over all VMs, and of the VM that
    /// sent the most bytes.
    void print(const char* phase, std::size_t vm_count, double seconds) const
    {
        traffic sum;
        std::uint64_t max_bytes = 0;
        for (const auto& [id, each] : totals_)
        {
            sum.messages += each.messages;
            sum.bytes += each.bytes;
            sum.bytes_with_headers += each.bytes_with_headers;
            max_bytes = std::max(max_bytes, each.bytes_with_headers);
        }
        const double vm_seconds = seconds * static_cast<double>(vm_count);
        std::printf("%5zu  %-10s %8.2f %10.1f %16.1f %14.1f\n", vm_count, phase,
                    static_cast<double>(sum.messages) / vm_seconds,
                    static_cast<double>(sum.bytes) / vm_seconds,
                    static_cast<double>(sum.bytes_with_headers) / vm_seconds,
                    static_cast<double>(max_bytes) / seconds);
    }

private:
    std::map<vm_id, traffic> totals_;
};

void start_fleet(vm_network& network, std::uint32_t vm_count)
{
    for (std::uint32_t i = 1; i <= vm_count; ++i)
    {
        network.start({i});
    }
    network.publish_list();
}

void measure_traffic(std::uint32_t vm_count, std::uint64_t seed)
{
    vm_network network({}, seed);
    traffic_meter sent_traffic(network);
    start_fleet(network, vm_count);
    const auto convergence_time =
        network.run_until(60s, [&] { return network.converged(); });
    network.run_for(60s - convergence_time.value_or(60s));
    sent_traffic.print("start 60s", vm_count, 60);
    std::printf(
        "       all see all after %.2f s\n",
        std::chrono::duration<double>(convergence_time.value_or(-1s)).count());
    network.run_for(120s);
    sent_traffic.reset();
    network.run_for(600s);
    sent_traffic.print("steady", vm_count, 600);
    // One in six VMs dies and is replaced after 30 s.
    sent_traffic.reset();
    for (std::uint32_t i = 1; i <= vm_count / 6; ++i)
    {
        network.kill({i});
    }
    network.run_for(30s);
    for (std::uint32_t i = 1; i <= vm_count / 6; ++i)
    {
        network.start({i});
    }
    network.publish_list();
    network.run_for(30s);
    sent_traffic.print("1/6 dies", vm_count, 60);
    // A partition separates half of the VMs for a minute.
    for (std::uint32_t i = 1; i <= vm_count / 2; ++i)
    {
        network.set_partition({i}, 1);
    }
    sent_traffic.reset();
    network.run_for(60s);
    sent_traffic.print("cut 60s", vm_count, 60);
    sent_traffic.reset();
    network.heal();
    const auto healing_time =
        network.run_until(60s, [&] { return network.converged(); });
    network.run_for(60s - healing_time.value_or(60s));
    sent_traffic.print("healed 60s", vm_count, 60);
    std::printf(
        "       all see all %.2f s after healing\n",
        std::chrono::duration<double>(healing_time.value_or(-1s)).count());
}

void measure_detection(std::uint32_t vm_count, std::uint64_t seed,
                       int run_count)
{
    std::vector<double> first_seen_seconds;
    std::vector<double> all_seen_seconds;
    for (int run = 0; run < run_count; ++run)
    {
        vm_network network({}, seed + static_cast<std::uint64_t>(run));
        start_fleet(network, vm_count);
        network.run_until(60s, [&] { return network.converged(); });
        network.run_for(7s + 37ms * run);
        network.kill({1});
        duration first_seen_at{};
        const auto seen_by_all = network.run_until(
            60s,
            [&]
            {
                for (std::uint32_t i = 2;
                     i <= vm_count && first_seen_at == duration{}; ++i)
                {
                    if (network.state_in_view({i}, {1}) == liveness::dead)
                    {
                        first_seen_at = network.now().time_since_epoch();
                    }
                }
                return network.all_views_show({1}, liveness::dead);
            });
        const duration death_time =
            network.now().time_since_epoch() - seen_by_all.value_or(60s);
        first_seen_seconds.push_back(
            std::chrono::duration<double>(first_seen_at - death_time).count());
        all_seen_seconds.push_back(
            std::chrono::duration<double>(seen_by_all.value_or(60s)).count());
    }
    std::ranges::sort(first_seen_seconds);
    std::ranges::sort(all_seen_seconds);
    const auto value_at =
        [&](const std::vector<double>& sorted, double quantile)
    {
        return sorted[static_cast<std::size_t>(
            quantile * static_cast<double>(sorted.size() - 1))];
    };
    std::printf(
        "%5u %10.2f %8.2f %8.2f %10.2f %8.2f %8.2f\n", vm_count,
        value_at(first_seen_seconds, 0.5), value_at(first_seen_seconds, 0.99),
        value_at(first_seen_seconds, 1), value_at(all_seen_seconds, 0.5),
        value_at(all_seen_seconds, 0.99), value_at(all_seen_seconds, 1));
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    std::printf("sent by one VM, per second\n");
    std::printf("  vms  phase      messages      bytes  with TCP/IP hdr"
                "    largest VM\n");
    for (const std::uint32_t vm_count : {6U, 36U, 144U})
    {
        measure_traffic(vm_count, seed);
    }
    std::printf("seconds from a death until seen by the first / by all VMs\n");
    std::printf("  vms  first p50      p99      max    all p50      p99"
                "      max\n");
    measure_detection(6, seed, 200);
    measure_detection(36, seed, 100);
    measure_detection(144, seed, 20);
}
