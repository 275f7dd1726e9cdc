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
constexpr duration settled_after = 5s;
constexpr std::uint32_t second_service_begins = 10000;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

damage& damage::operator+=(const damage& other)
{
    flows += other.flows;
    broken += other.broken;
    broken_settled += other.broken_settled;
    stalled += other.stalled;
    misdirected += other.misdirected;
    refused += other.refused;
    return *this;
}

service_id service_of(target_id id)
{
    return {id.value < second_service_begins ? 1U : 2U};
}

data_centre_id data_centre_of(const published_objects& objects, target_id id)
{
    const auto found = std::ranges::find(objects.targets, id, &target::id);
    return found == objects.targets.end() ? data_centre_id{}
                                          : found->data_centre;
}

published_objects make_objects(const site_size& size)
{
    published_objects made;
    made.version = {1};
    made.services = {{.id = {1}, .name = "first"},
                     {.id = {2}, .name = "second"}};
    for (std::uint16_t dc = 1; dc <= size.data_centres; ++dc)
    {
        made.data_centres.push_back({.id = {dc}, .region = {1}});
    }
    const auto add =
        [&](std::uint32_t count, std::uint32_t service, std::uint32_t base)
    {
        for (std::uint32_t n = 0; n < count; ++n)
        {
            made.targets.push_back({.id = {base + n},
                                    .service = {service},
                                    .data_centre = {static_cast<std::uint16_t>(
                                        n % size.data_centres + 1)},
                                    .connections = size.connections});
        }
    };
    add(size.first_targets, 1, 100);
    add(size.second_targets, 2, second_service_begins);
    made.references = {
        {.id = {1}, .public_endpoint = public_endpoint, .service = {1}}};
    return made;
}

site::site(const site_size& size, const policy& which,
           const fleet_settings& settings)
    : objects(make_objects(size)),
      in_effect(objects),
      machines(which.make(settings)),
      watched(machines->carrier(), settings.seed + 1),
      callers(watched, public_endpoint, service_of),
      random(settings.seed + 2)
{
    watched.on_end = [this](const packet_facts& facts,
                            const testing::packet_end& end, instant)
    {
        const auto* reached = std::get_if<testing::delivered>(&end);
        if (reached != nullptr && facts.phase == flow_phase::opening)
        {
            opened_by_.insert_or_assign(facts.key, reached->by);
        }
    };
    // Without a number for each data centre, six VMs are dealt out in turn.
    constexpr std::uint32_t vms_of_today = 6;
    const std::uint32_t count =
        size.vms_per_data_centre == 0
            ? vms_of_today
            : size.vms_per_data_centre * size.data_centres;
    for (std::uint32_t n = 0; n < count; ++n)
    {
        const data_centre_id where{
            static_cast<std::uint16_t>(n % size.data_centres + 1)};
        const vm_id id{where.value * 100U + n / size.data_centres + 1};
        machines->add_vm(id, where);
        vms_.push_back(id);
    }
    for (const vm_id id : vms_)
    {
        machines->give_set(id, objects);
    }
    machines->run_for(5s);
}

void site::fill(std::uint32_t count, duration time)
{
    const auto steps = static_cast<std::uint32_t>(time / step_length);
    for (std::uint32_t step = 0; step < steps; ++step)
    {
        machines->run_for(step_length);
        callers.open(count / steps, service_id{1});
    }
    for (duration waited{}; waited < 60s; waited += 1s)
    {
        std::uint64_t backlog = 0;
        for (const vm_id id : vms_)
        {
            backlog += machines->stats(id).replication_backlog;
        }
        if (backlog == 0)
        {
            break;
        }
        machines->run_for(1s);
    }
}

void site::run(duration time, std::uint32_t rate, double part)
{
    for (duration passed{}; passed < time; passed += step_length)
    {
        machines->run_for(step_length);
        callers.open(rate, std::nullopt);
        callers.send_some(part);
    }
}

void site::run_level(duration time, std::uint32_t rate, double part)
{
    for (duration passed{}; passed < time; passed += step_length)
    {
        machines->run_for(step_length);
        callers.open(rate, std::nullopt);
        callers.send_some(part);
        callers.close_some(rate / static_cast<double>(std::max<std::size_t>(
                                      1, callers.open_flows())));
    }
}

void site::publish()
{
    ++objects.version.value;
    in_effect = objects;
    machines->publish(objects, publish_spread);
}

void site::finish_leaving(vm_id id, std::uint32_t rate)
{
    for (int second = 0; second < 30 && !machines->settled(); ++second)
    {
        run(1s, rate);
    }
    machines->remove(id);
    std::erase(vms_, id);
}

damage site::assess(std::optional<instant> fault)
{
    constexpr int attempts = 3;
    damage found;
    found.misdirected = callers.counts().misdirected;
    found.refused = callers.counts().refused;
    std::vector<broken_flow> lost_now;
    for (const testing::open_flow& flow : callers.flows())
    {
        if (!flow.target)
        {
            continue;
        }
        ++found.flows;
        const testing::packet_end end = watched.spray(flow.facts);
        const auto* reached = std::get_if<testing::delivered>(&end);
        if (reached != nullptr && reached->target != *flow.target)
        {
            found.misdirected +=
                service_of(reached->target) == flow.service ? 0U : 1U;
            broken_.push_back({flow, end});
        }
        else if (flow.broken)
        {
            broken_.push_back({flow, end});
        }
        else if (reached == nullptr)
        {
            lost_now.push_back({flow, end});
        }
    }
    for (int attempt = 1; attempt < attempts && !lost_now.empty(); ++attempt)
    {
        machines->run_for(1s);
        std::erase_if(lost_now,
                      [&](broken_flow& each)
                      {
                          each.last = watched.spray(each.flow.facts);
                          const auto* reached =
                              std::get_if<testing::delivered>(&each.last);
                          return reached != nullptr &&
                                 reached->target == *each.flow.target;
                      });
    }
    found.stalled = lost_now.size();
    broken_.insert(broken_.end(), lost_now.begin(), lost_now.end());
    found.broken = broken_.size();
    for (const broken_flow& each : broken_)
    {
        found.broken_settled +=
            fault && *fault - each.flow.opened_at >= settled_after ? 1U : 0U;
    }
    return found;
}

void site::trace(const char* what, instant event) const
{
    for (const broken_flow& each : broken_)
    {
        const auto by = opened_by_.find(each.flow.facts.key);
        const auto* reached = std::get_if<testing::delivered>(&each.last);
        const auto* dropped = std::get_if<testing::lost>(&each.last);
        std::printf("# %s: caller %08x opened %.1f s before, at VM %u, target "
                    "%u service %u; now %s %u\n",
                    what, each.flow.facts.key.caller.address.value,
                    seconds(event - each.flow.opened_at),
                    by == opened_by_.end() ? 0 : by->second.value,
                    each.flow.target->value, each.flow.service.value,
                    reached != nullptr ? "target" : "lost, reason",
                    reached != nullptr ? reached->target.value
                    : dropped != nullptr && dropped->reason
                        ? static_cast<std::uint32_t>(*dropped->reason)
                        : 99U);
    }
}

} // namespace catkinkeel::measure
