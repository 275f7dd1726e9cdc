// demo_site: simulates the environment of the demonstration.
//
//   demo_site prepare DIRECTORY   writes the published set and the settings
//   demo_site run DIRECTORY       simulates targets, fabric and callers,
//                                 changes the set and prints a result table
//
// tools/demo.sh starts the platform stand-in and the daemons between the two
// commands.

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/http/http_client.hpp"
#include "catkinkeel/operators/documents.hpp"
#include "standins/caller_simulator.hpp"
#include "standins/site_plan.hpp"
#include "standins/target_simulator.hpp"

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace catkinkeel;

/// Schedule of the run, relative to the first flow.
constexpr duration move_time = 15s;
constexpr duration drain_time = 25s;
constexpr duration last_open_time = 38s;
constexpr duration end_time = 45s;
/// Delay before the first flow, after which the ramp of cold targets admits the
/// full flow rate.
constexpr duration ramp_delay = 20s;
constexpr duration ready_timeout = 40s;
constexpr duration poll_period = 10ms;
constexpr std::uint32_t drained_target = 4;
constexpr std::uint32_t orderdesk_flows_per_100ms = 6;
constexpr std::uint32_t platefiles_flows_per_100ms = 2;
constexpr std::uint32_t moved_flows_per_100ms = 2;
/// Time within which a new set must be in effect on all VMs.
constexpr duration propagation_timeout = 5s;

std::optional<status_document> read_status(const site_vm& vm)
{
    http_client reader;
    const http_result result =
        reader.get({.server = vm.operators,
                    .path = std::string(status_path),
                    .media_type = "application/json",
                    .timeout = 2s,
                    .max_body_bytes = max_response_size.value});
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr)
    {
        return std::nullopt;
    }
    auto document = from_json<status_document>(response->body);
    return document ? std::optional(std::move(document).value()) : std::nullopt;
}

/// Waits until each VM owns its buckets and all targets are ramping up. Returns
/// false after `ready_timeout`.
bool wait_until_ready()
{
    const instant deadline = steady_now() + ready_timeout;
    while (steady_now() < deadline)
    {
        bool ready = true;
        std::size_t ramping = 0;
        for (const site_vm& vm : site_vms())
        {
            const auto status = read_status(vm);
            ready = ready && status && status->buckets.awaited == 0 &&
                    status->buckets.held > 0;
            ramping +=
                status ? static_cast<std::size_t>(std::ranges::count(
                             status->targets, admission_limit_reason::ramping,
                             &target_view::reason))
                       : 0;
        }
        std::cout << "waiting: " << ramping << " of "
                  << site_objects().targets.size()
                  << " targets take their first flows" << std::endl;
        if (ready && ramping >= site_objects().targets.size())
        {
            return true;
        }
        std::this_thread::sleep_for(2s);
    }
    return false;
}

class demonstration
{
public:
    demonstration(std::filesystem::path directory, caller_simulator& callers)
        : directory_(std::move(directory)),
          callers_(callers),
          start_(steady_now())
    {
    }

    void run()
    {
        instant next_open_time = start_;
        instant next_progress_time = start_;
        for (instant now = start_; now < start_ + end_time; now = steady_now())
        {
            change_set(now);
            if (now >= next_open_time && now < start_ + last_open_time)
            {
                next_open_time += 100ms;
                open(now);
            }
            callers_.poll(now);
            if (now >= next_progress_time)
            {
                next_progress_time += 5s;
                print_progress(now);
            }
            std::this_thread::sleep_for(poll_period);
        }
    }

private:
    void open(instant now)
    {
        callers_.open(orderdesk_endpoint, orderdesk_flows_per_100ms, orderdesk,
                      now);
        callers_.open(platefiles_endpoint, platefiles_flows_per_100ms,
                      platefiles, now);
        // While the new set propagates, both services are correct.
        std::optional<service_id> expected_service;
        if (!moved_at_)
        {
            expected_service = orderdesk;
        }
        else if (now > *moved_at_ + propagation_timeout)
        {
            expected_service = platefiles;
        }
        callers_.open(moved_endpoint, moved_flows_per_100ms, expected_service,
                      now);
    }

    void change_set(instant now)
    {
        if (!moved_at_ && now >= start_ + move_time)
        {
            moved_at_ = now;
            objects_.references.back().service = platefiles;
            publish("reference 3 moves from orderdesk to platefiles");
        }
        if (!drained_at_ && now >= start_ + drain_time)
        {
            drained_at_ = now;
            objects_.targets[drained_target - 1].wish = target_wish::drain;
            publish("target " + std::to_string(drained_target) + " drains");
        }
    }

    void publish(const std::string& description)
    {
        ++objects_.version.value;
        write_set(directory_, objects_);
        std::cout << "published set " << objects_.version.value << ": "
                  << description << std::endl;
    }

    void print_progress(instant now)
    {
        const caller_counts counts = callers_.counts(now);
        std::cout << std::setw(3)
                  << std::chrono::duration_cast<std::chrono::seconds>(now -
                                                                      start_)
                         .count()
                  << " s: " << counts.opened << " flows, " << counts.answered
                  << " answered, " << counts.broken << " broken, "
                  << counts.misdirected << " misdirected, " << counts.refused
                  << " refused" << std::endl;
    }

    std::filesystem::path directory_;
    caller_simulator& callers_;
    instant start_;
    published_objects objects_ = site_objects();
    std::optional<instant> moved_at_;
    std::optional<instant> drained_at_;
};

/// Returns the ratio of the maximum to the mean number of flows over the
/// targets of a service, without the drained one; 0 if there are no flows.
double imbalance(const caller_simulator& callers, service_id service)
{
    double max_flows = 0;
    double total = 0;
    double count = 0;
    const auto flows = callers.flows_by_target();
    for (const target& each : site_objects().targets)
    {
        if (each.service != service || each.id.value == drained_target)
        {
            continue;
        }
        const auto found = flows.find(each.id);
        const double flow_count = found == flows.end() ? 0 : found->second;
        max_flows = std::max(max_flows, flow_count);
        total += flow_count;
        ++count;
    }
    return total > 0 ? max_flows / (total / count) : 0;
}

void print_table(const caller_simulator& callers, instant now)
{
    const caller_counts counts = callers.counts(now);
    const auto row = [](const std::string& name, const auto& value)
    {
        std::cout << "  " << std::left << std::setw(34) << name << value
                  << '\n';
    };
    std::cout << "\nclosing table\n";
    row("flows opened", counts.opened);
    row("flows answered", counts.answered);
    row("answered within 1 s", counts.answered_within_1s);
    row("refused", counts.refused);
    row("broken", counts.broken);
    row("silent at the end", counts.unresponsive);
    row("misdirected answers", counts.misdirected);
    row("busiest/mean target, orderdesk", imbalance(callers, orderdesk));
    row("busiest/mean target, platefiles", imbalance(callers, platefiles));
    for (const site_vm& vm : site_vms())
    {
        const auto status = read_status(vm);
        row("control bytes/s sent, VM " + std::to_string(vm.id.value),
            status ? std::to_string(status->control.sent_last_minute.value / 60)
                   : "not reachable");
    }
}

int run(const std::filesystem::path& directory)
{
    const published_objects objects = site_objects();
    const auto targets =
        target_simulator::start(objects.targets, egress_endpoint);
    std::vector<endpoint> entry_vms;
    for (const site_vm& vm : site_vms())
    {
        entry_vms.push_back(vm.packets);
    }
    const auto callers = caller_simulator::start(
        entry_vms, egress_endpoint,
        [&](target_id id) { return objects.targets.at(id.value - 1).service; },
        /*seed=*/1);
    if (!targets || !callers)
    {
        std::cerr << "an address of the demonstration is in use\n";
        return 1;
    }
    if (!wait_until_ready())
    {
        std::cerr << "the daemons did not become ready\n";
        return 1;
    }
    std::cout << "all targets are ramping; flows start in " << ramp_delay / 1s
              << " s" << std::endl;
    std::this_thread::sleep_for(ramp_delay);
    demonstration(directory, *callers).run();
    const instant now = steady_now();
    print_table(*callers, now);
    const caller_counts counts = callers->counts(now);
    const bool passed = counts.broken == 0 && counts.misdirected == 0 &&
                        counts.unresponsive == 0 && counts.answered > 0;
    std::cout << (passed ? "result: ok" : "result: failed") << std::endl;
    return passed ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string command = argc == 3 ? argv[1] : "";
    if (command == "prepare")
    {
        write_site(argv[2]);
        return 0;
    }
    if (command == "run")
    {
        return run(argv[2]);
    }
    std::cerr << "usage: demo_site prepare|run DIRECTORY\n";
    return 2;
}
