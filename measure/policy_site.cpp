#include "measure/policy_site.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <limits>
#include <utility>

namespace catkinkeel::measure
{

namespace
{

constexpr duration step_length = 100ms;
constexpr duration publish_spread = 2s;
/// A flow counts as settled once it has been open for this long.
constexpr duration min_settled_flow_age = 5s;
constexpr std::uint32_t second_service_first_id = 10000;

double seconds(duration run_time)
{
    return std::chrono::duration<double>(run_time).count();
}

} // namespace

flow_counts& flow_counts::operator+=(const flow_counts& other)
{
    checked_flows += other.checked_flows;
    broken += other.broken;
    broken_settled += other.broken_settled;
    stalled += other.stalled;
    misdirected += other.misdirected;
    refused += other.refused;
    return *this;
}

service_id service_of(target_id id)
{
    return {id.value < second_service_first_id ? 1U : 2U};
}

data_centre_id data_centre_of(const published_objects& objects, target_id id)
{
    const auto match = std::ranges::find(objects.targets, id, &target::id);
    return match == objects.targets.end() ? data_centre_id{}
                                          : match->data_centre;
}

published_objects make_objects(const site_size& size)
{
    published_objects result;
    result.version = {1};
    result.services = {{.id = {1}, .name = "first"},
                       {.id = {2}, .name = "second"}};
    for (std::uint16_t dc = 1; dc <= size.data_centre_count; ++dc)
    {
        result.data_centres.push_back({.id = {dc}, .region = {1}});
    }
    const auto add =
        [&](std::uint32_t count, std::uint32_t service, std::uint32_t first_id)
    {
        for (std::uint32_t n = 0; n < count; ++n)
        {
            result.targets.push_back(
                {.id = {first_id + n},
                 .service = {service},
                 .data_centre = {static_cast<std::uint16_t>(
                     n % size.data_centre_count + 1)},
                 .connections = size.target_connection_limit});
        }
    };
    add(size.first_service_target_count, 1, 100);
    add(size.second_service_target_count, 2, second_service_first_id);
    result.references = {
        {.id = {1}, .public_endpoint = public_endpoint, .service = {1}}};
    return result;
}

site::site(const site_size& size, const policy& tested_policy,
           const fleet_settings& settings)
    : next_objects(make_objects(size)),
      last_published_objects(next_objects),
      fleet(tested_policy.make(settings)),
      forwarder(fleet->forwarder(), settings.seed + 1),
      callers(forwarder, public_endpoint, service_of),
      random(settings.seed + 2)
{
    forwarder.on_packet_outcome = [this](const packet_facts& facts,
                                         const testing::packet_outcome& outcome,
                                         instant)
    {
        const auto* reached = std::get_if<testing::delivered>(&outcome);
        if (reached != nullptr && facts.phase == flow_phase::opening)
        {
            opening_vms_.insert_or_assign(facts.key, reached->decided_by);
        }
    };
    constexpr std::uint32_t default_vm_count = 6;
    const std::uint32_t count =
        size.vms_per_data_centre == 0
            ? default_vm_count
            : size.vms_per_data_centre * size.data_centre_count;
    for (std::uint32_t n = 0; n < count; ++n)
    {
        const data_centre_id location{
            static_cast<std::uint16_t>(n % size.data_centre_count + 1)};
        const vm_id id{location.value * 100U + n / size.data_centre_count + 1};
        fleet->add_vm(id, location);
        vms_.push_back(id);
    }
    for (const vm_id id : vms_)
    {
        fleet->apply_set(id, next_objects);
    }
    fleet->run_for(5s);
}

void site::fill(std::uint32_t count, duration run_time)
{
    const auto steps = static_cast<std::uint32_t>(run_time / step_length);
    for (std::uint32_t step = 0; step < steps; ++step)
    {
        fleet->run_for(step_length);
        callers.open(count / steps, service_id{1});
    }
    for (duration waited{}; waited < 60s; waited += 1s)
    {
        std::uint64_t backlog = 0;
        for (const vm_id id : vms_)
        {
            backlog += fleet->stats(id).replication_backlog;
        }
        if (backlog == 0)
        {
            break;
        }
        fleet->run_for(1s);
    }
}

void site::run(duration run_time, std::uint32_t flows_per_step, double fraction)
{
    for (duration passed{}; passed < run_time; passed += step_length)
    {
        fleet->run_for(step_length);
        callers.open(flows_per_step, std::nullopt);
        callers.send_on_random_flows(fraction);
    }
}

void site::run_at_constant_load(duration run_time, std::uint32_t flows_per_step,
                                double fraction)
{
    for (duration passed{}; passed < run_time; passed += step_length)
    {
        fleet->run_for(step_length);
        callers.open(flows_per_step, std::nullopt);
        callers.send_on_random_flows(fraction);
        callers.close_random_flows(flows_per_step /
                                   static_cast<double>(std::max<std::size_t>(
                                       1, callers.open_flow_count())));
    }
}

void site::publish()
{
    ++next_objects.version.value;
    last_published_objects = next_objects;
    fleet->publish(next_objects, publish_spread);
}

void site::finish_leaving(vm_id leaving_vm, std::uint32_t flows_per_step)
{
    for (int second = 0; second < 30 && !fleet->handover_finished(); ++second)
    {
        run(1s, flows_per_step);
    }
    fleet->remove(leaving_vm);
    std::erase(vms_, leaving_vm);
}

flow_counts site::assess(std::optional<instant> fault_time)
{
    constexpr int attempt_count = 3;
    flow_counts assessed;
    assessed.misdirected = callers.counts().misdirected;
    assessed.refused = callers.counts().refused;
    std::vector<broken_flow> undelivered;
    for (const testing::simulated_flow& flow : callers.flows())
    {
        if (!flow.target)
        {
            continue;
        }
        ++assessed.checked_flows;
        const testing::packet_outcome outcome =
            forwarder.send_to_random_vm(flow.facts);
        const auto* reached = std::get_if<testing::delivered>(&outcome);
        if (reached != nullptr && reached->target != *flow.target)
        {
            assessed.misdirected +=
                service_of(reached->target) == flow.service ? 0U : 1U;
            broken_.push_back({flow, outcome});
        }
        else if (flow.broken)
        {
            broken_.push_back({flow, outcome});
        }
        else if (reached == nullptr)
        {
            undelivered.push_back({flow, outcome});
        }
    }
    for (int attempt_number = 1;
         attempt_number < attempt_count && !undelivered.empty();
         ++attempt_number)
    {
        fleet->run_for(1s);
        std::erase_if(undelivered,
                      [&](broken_flow& entry)
                      {
                          entry.last_outcome =
                              forwarder.send_to_random_vm(entry.flow.facts);
                          const auto* reached = std::get_if<testing::delivered>(
                              &entry.last_outcome);
                          return reached != nullptr &&
                                 reached->target == *entry.flow.target;
                      });
    }
    assessed.stalled = undelivered.size();
    broken_.insert(broken_.end(), undelivered.begin(), undelivered.end());
    assessed.broken = broken_.size();
    for (const broken_flow& entry : broken_)
    {
        assessed.broken_settled +=
            fault_time && *fault_time - entry.flow.first_syn_at >=
                              min_settled_flow_age
                ? 1U
                : 0U;
    }
    return assessed;
}

void site::print_broken_flows(const char* label, instant event_time) const
{
    for (const broken_flow& entry : broken_)
    {
        const auto opening_vm = opening_vms_.find(entry.flow.facts.key);
        const auto* reached =
            std::get_if<testing::delivered>(&entry.last_outcome);
        const auto* lost_packet =
            std::get_if<testing::lost>(&entry.last_outcome);
        std::printf("# %s: caller %08x opened %.1f s before, at VM %u, target "
                    "%u service %u; now %s %u\n",
                    label, entry.flow.facts.key.caller.address.value,
                    seconds(event_time - entry.flow.first_syn_at),
                    opening_vm == opening_vms_.end() ? 0
                                                     : opening_vm->second.value,
                    entry.flow.target->value, entry.flow.service.value,
                    reached != nullptr ? "target" : "lost, reason",
                    reached != nullptr ? reached->target.value
                    : lost_packet != nullptr && lost_packet->reason
                        ? static_cast<std::uint32_t>(*lost_packet->reason)
                        : 99U);
    }
}

} // namespace catkinkeel::measure
