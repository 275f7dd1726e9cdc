// demo_site: the surroundings of the demonstration.
//
//   demo_site prepare DIRECTORY   writes the published set and the settings
//   demo_site run DIRECTORY       runs targets, fabric and callers, changes the
//                                 set meanwhile, and prints a closing table
//
// tools/demo.sh starts the platform's stand-in and the daemons between the two.

#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/http/http_reader.hpp"
#include "catkinkeel/operators/documents.hpp"
#include "standins/caller_site.hpp"
#include "standins/site_plan.hpp"
#include "standins/target_site.hpp"

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace catkinkeel;

/// Moments of the run, from the first flow.
constexpr duration move_at = 15s;
constexpr duration drain_at = 25s;
constexpr duration open_until = 38s;
constexpr duration end_at = 45s;
/// The ramp of cold targets carries the flow rate from here on.
constexpr duration ramp_lead = 20s;
constexpr duration ready_limit = 40s;
constexpr duration turn_length = 10ms;
constexpr std::uint32_t drained_target = 4;
/// New flows in each 100 ms.
constexpr std::uint32_t orderdesk_rate = 6;
constexpr std::uint32_t platefiles_rate = 2;
constexpr std::uint32_t moved_rate = 2;
/// A new set must be in effect everywhere by then.
constexpr duration effect_limit = 5s;

std::optional<status_document> read_status(const site_vm& vm)
{
    http_reader reader;
    const http_result result =
        reader.get({.server = vm.operators,
                    .path = std::string(status_path),
                    .media_type = "application/json",
                    .timeout = 2s,
                    .max_body = answer_size_limit.value});
    const auto* answer = std::get_if<http_answer>(&result);
    if (answer == nullptr)
    {
        return std::nullopt;
    }
    auto document = from_json<status_document>(answer->body);
    return document ? std::optional(std::move(document).value()) : std::nullopt;
}

/// Waits until each VM holds its buckets and a target of each service ramps.
bool wait_until_ready()
{
    const instant end = steady_now() + ready_limit;
    while (steady_now() < end)
    {
        bool ready = true;
        std::size_t ramping = 0;
        for (const site_vm& vm : site_vms())
        {
            const auto status = read_status(vm);
            ready = ready && status && status->buckets.awaited == 0 &&
                    status->buckets.held > 0;
            ramping += status ? static_cast<std::size_t>(std::ranges::count(
                                    status->targets, bearing_reason::ramping,
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
    demonstration(std::filesystem::path directory, caller_site& callers)
        : directory_(std::move(directory)),
          callers_(callers),
          start_(steady_now())
    {
    }

    void run()
    {
        instant next_open = start_;
        instant next_line = start_;
        for (instant now = start_; now < start_ + end_at; now = steady_now())
        {
            change_set(now);
            if (now >= next_open && now < start_ + open_until)
            {
                next_open += 100ms;
                open(now);
            }
            callers_.turn(now);
            if (now >= next_line)
            {
                next_line += 5s;
                print_progress(now);
            }
            std::this_thread::sleep_for(turn_length);
        }
    }

private:
    void open(instant now)
    {
        callers_.open(orderdesk_endpoint, orderdesk_rate, orderdesk, now);
        callers_.open(platefiles_endpoint, platefiles_rate, platefiles, now);
        // While the change spreads, either service may be the right one.
        std::optional<service_id> meant;
        if (!moved_)
        {
            meant = orderdesk;
        }
        else if (now > *moved_ + effect_limit)
        {
            meant = platefiles;
        }
        callers_.open(moved_endpoint, moved_rate, meant, now);
    }

    void change_set(instant now)
    {
        if (!moved_ && now >= start_ + move_at)
        {
            moved_ = now;
            objects_.references.back().service = platefiles;
            publish("reference 3 moves from orderdesk to platefiles");
        }
        if (!drained_ && now >= start_ + drain_at)
        {
            drained_ = now;
            objects_.targets[drained_target - 1].wish = target_wish::drain;
            publish("target " + std::to_string(drained_target) + " drains");
        }
    }

    void publish(const std::string& what)
    {
        ++objects_.version.value;
        write_set(directory_, objects_);
        std::cout << "published set " << objects_.version.value << ": " << what
                  << std::endl;
    }

    void print_progress(instant now)
    {
        const site_counts counts = callers_.counts(now);
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
    caller_site& callers_;
    instant start_;
    published_objects objects_ = site_objects();
    std::optional<instant> moved_;
    std::optional<instant> drained_;
};

/// Most and mean flows of the targets of a service that did not drain.
double imbalance(const caller_site& callers, service_id service)
{
    double most = 0;
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
        const double here = found == flows.end() ? 0 : found->second;
        most = std::max(most, here);
        total += here;
        ++count;
    }
    return total > 0 ? most / (total / count) : 0;
}

void print_table(const caller_site& callers, instant now)
{
    const site_counts counts = callers.counts(now);
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
    row("silent at the end", counts.silent);
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
    const auto targets = target_site::start(objects.targets, egress_endpoint);
    std::vector<endpoint> entry_vms;
    for (const site_vm& vm : site_vms())
    {
        entry_vms.push_back(vm.packets);
    }
    const auto callers = caller_site::start(
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
    std::cout << "all targets are ramping; flows start in " << ramp_lead / 1s
              << " s" << std::endl;
    std::this_thread::sleep_for(ramp_lead);
    demonstration(directory, *callers).run();
    const instant now = steady_now();
    print_table(*callers, now);
    const site_counts counts = callers->counts(now);
    const bool good = counts.broken == 0 && counts.misdirected == 0 &&
                      counts.silent == 0 && counts.answered > 0;
    std::cout << (good ? "result: ok" : "result: failed") << std::endl;
    return good ? 0 : 1;
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
