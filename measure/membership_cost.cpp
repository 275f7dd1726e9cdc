// Prints what membership costs a VM and how fast it sees a death, in virtual
// time. Usage: membership_cost [seed]

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

class meter
{
public:
    explicit meter(vm_network& fleet)
    {
        fleet.on_send = [this](vm_id from, const outgoing_vm_message& sent)
        {
            const message content = std::visit(
                [](const auto& each) { return message(each); }, sent.content);
            const auto size = encode_message(content).size() + envelope_size;
            traffic& total = totals_[from];
            ++total.messages;
            total.bytes += size;
            total.bytes_with_headers += size + header_cost.value;
        };
    }

    void reset()
    {
        totals_.clear();
    }

    /// Prints the mean and the largest VM's traffic per second.
    void print(const char* phase, std::size_t vms, double seconds) const
    {
        traffic sum;
        std::uint64_t largest = 0;
        for (const auto& [id, each] : totals_)
        {
            sum.messages += each.messages;
            sum.bytes += each.bytes;
            sum.bytes_with_headers += each.bytes_with_headers;
            largest = std::max(largest, each.bytes_with_headers);
        }
        const double share = seconds * static_cast<double>(vms);
        std::printf("%5zu  %-10s %8.2f %10.1f %16.1f %14.1f\n", vms, phase,
                    static_cast<double>(sum.messages) / share,
                    static_cast<double>(sum.bytes) / share,
                    static_cast<double>(sum.bytes_with_headers) / share,
                    static_cast<double>(largest) / seconds);
    }

private:
    std::map<vm_id, traffic> totals_;
};

void start_fleet(vm_network& fleet, std::uint32_t vms)
{
    for (std::uint32_t i = 1; i <= vms; ++i)
    {
        fleet.start({i});
    }
    fleet.publish_list();
}

void measure_traffic(std::uint32_t vms, std::uint64_t seed)
{
    vm_network fleet({}, seed);
    meter counter(fleet);
    start_fleet(fleet, vms);
    const auto converged =
        fleet.run_until(60s, [&] { return fleet.converged(); });
    fleet.run_for(60s - converged.value_or(60s));
    counter.print("start 60s", vms, 60);
    std::printf("       all see all after %.2f s\n",
                std::chrono::duration<double>(converged.value_or(-1s)).count());
    fleet.run_for(120s);
    counter.reset();
    fleet.run_for(600s);
    counter.print("steady", vms, 600);
    // One VM in 6 dies and is replaced within a minute.
    counter.reset();
    for (std::uint32_t i = 1; i <= vms / 6; ++i)
    {
        fleet.kill({i});
    }
    fleet.run_for(30s);
    for (std::uint32_t i = 1; i <= vms / 6; ++i)
    {
        fleet.start({i});
    }
    fleet.publish_list();
    fleet.run_for(30s);
    counter.print("1/6 dies", vms, 60);
    // Half of the fleet is cut off for a minute.
    for (std::uint32_t i = 1; i <= vms / 2; ++i)
    {
        fleet.set_partition({i}, 1);
    }
    counter.reset();
    fleet.run_for(60s);
    counter.print("cut 60s", vms, 60);
    counter.reset();
    fleet.heal();
    const auto healed = fleet.run_until(60s, [&] { return fleet.converged(); });
    fleet.run_for(60s - healed.value_or(60s));
    counter.print("healed 60s", vms, 60);
    std::printf("       all see all %.2f s after healing\n",
                std::chrono::duration<double>(healed.value_or(-1s)).count());
}

void measure_detection(std::uint32_t vms, std::uint64_t seed, int runs)
{
    std::vector<double> first;
    std::vector<double> all;
    for (int run = 0; run < runs; ++run)
    {
        vm_network fleet({}, seed + static_cast<std::uint64_t>(run));
        start_fleet(fleet, vms);
        fleet.run_until(60s, [&] { return fleet.converged(); });
        fleet.run_for(7s + 37ms * run);
        fleet.kill({1});
        duration seen_first{};
        const auto seen_by_all =
            fleet.run_until(60s,
                            [&]
                            {
                                for (std::uint32_t i = 2;
                                     i <= vms && seen_first == duration{}; ++i)
                                {
                                    if (fleet.seen({i}, {1}) == liveness::dead)
                                    {
                                        seen_first =
                                            fleet.now().time_since_epoch();
                                    }
                                }
                                return fleet.all_see({1}, liveness::dead);
                            });
        const duration killed =
            fleet.now().time_since_epoch() - seen_by_all.value_or(60s);
        first.push_back(
            std::chrono::duration<double>(seen_first - killed).count());
        all.push_back(
            std::chrono::duration<double>(seen_by_all.value_or(60s)).count());
    }
    std::ranges::sort(first);
    std::ranges::sort(all);
    const auto at = [&](const std::vector<double>& sorted, double quantile)
    {
        return sorted[static_cast<std::size_t>(
            quantile * static_cast<double>(sorted.size() - 1))];
    };
    std::printf("%5u %10.2f %8.2f %8.2f %10.2f %8.2f %8.2f\n", vms,
                at(first, 0.5), at(first, 0.99), at(first, 1), at(all, 0.5),
                at(all, 0.99), at(all, 1));
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
    for (const std::uint32_t vms : {6U, 36U, 144U})
    {
        measure_traffic(vms, seed);
    }
    std::printf("seconds from a death until seen by the first / by all VMs\n");
    std::printf("  vms  first p50      p99      max    all p50      p99"
                "      max\n");
    measure_detection(6, seed, 200);
    measure_detection(36, seed, 100);
    measure_detection(144, seed, 20);
}
