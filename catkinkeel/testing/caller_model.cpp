#include "catkinkeel/testing/caller_model.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::testing
{

namespace
{

/// Retransmission timeout of an unanswered SYN. 1 s is the initial value of
/// RFC 6298; unlike there, it does not grow.
constexpr duration syn_retransmission_timeout = 1s;
/// Time after the first SYN at which a caller gives up.
constexpr duration opening_time_limit = 15s;
/// A flow counts as settled if its first SYN was sent at least this long before
/// `mark_settled`.
constexpr duration min_settled_flow_age = 5s;

} // namespace

caller_model::caller_model(packet_forwarder& balancers,
                           endpoint public_endpoint,
                           std::function<service_id(target_id)> service_of,
                           std::uint32_t first_caller_address)
    : balancers_(balancers),
      public_endpoint_(public_endpoint),
      service_of_(std::move(service_of)),
      next_caller_address_(first_caller_address)
{
}

void caller_model::open(std::uint32_t count, std::optional<service_id> service)
{
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const std::uint32_t caller_address = next_caller_address_++;
        simulated_flow flow;
        flow.facts.key = {
            {ipv4_address{caller_address},
             static_cast<std::uint16_t>(1024 + caller_address % 60000)},
            public_endpoint_,
            protocol::tcp};
        flow.service = service.value_or(service_id{});
        flow.first_syn_at = balancers_.now();
        send_opening_packet(flow);
        flows_.push_back(flow);
    }
    remove_finished_flows();
}

void caller_model::remove_finished_flows()
{
    std::erase_if(flows_,
                  [](const simulated_flow& flow) { return flow.finished; });
}

void caller_model::send_opening_packet(simulated_flow& flow)
{
    ++counts_.packets;
    packet_facts facts = flow.facts;
    facts.phase = flow_phase::opening;
    const packet_outcome outcome = balancers_.send_to_random_vm(facts);
    if (const auto* delivery = std::get_if<delivered>(&outcome))
    {
        ++counts_.opened;
        counts_.served_within_1s +=
            balancers_.now() - flow.first_syn_at <= syn_retransmission_timeout
                ? 1U
                : 0U;
        flow.target = delivery->target;
        const service_id service = service_of_(delivery->target);
        if (flow.service == service_id{})
        {
            flow.service = service;
        }
        counts_.misdirected += service == flow.service ? 0U : 1U;
        return;
    }
    flow.retry_at = balancers_.now() + syn_retransmission_timeout;
    if (std::holds_alternative<refused>(outcome))
    {
        ++counts_.refused;
        flow.finished = true;
        return;
    }
    ++counts_.packets_lost;
    if (balancers_.now() - flow.first_syn_at > opening_time_limit)
    {
        ++counts_.never_served;
        flow.finished = true;
    }
}

void caller_model::send_on_flow(simulated_flow& flow)
{
    if (!flow.target)
    {
        if (balancers_.now() >= flow.retry_at)
        {
            send_opening_packet(flow);
        }
        return;
    }
    ++counts_.packets;
    const packet_outcome outcome = balancers_.send_to_random_vm(flow.facts);
    const auto* delivery = std::get_if<delivered>(&outcome);
    if (delivery == nullptr)
    {
        ++counts_.packets_lost;
        return;
    }
    if (delivery->target == flow.target)
    {
        return;
    }
    counts_.misdirected +=
        service_of_(delivery->target) == flow.service ? 0U : 1U;
    flow.wrong_service |= service_of_(delivery->target) != flow.service;
    if (!flow.broken)
    {
        flow.broken = true;
        ++counts_.broken;
        counts_.broken_settled +=
            settled_marked_at_ && *settled_marked_at_ - flow.first_syn_at >=
                                      min_settled_flow_age
                ? 1U
                : 0U;
    }
}

void caller_model::send_on_all_flows()
{
    send_on_random_flows(1.0);
}

void caller_model::send_on_random_flows(double fraction)
{
    for (simulated_flow& flow : flows_)
    {
        if (fraction >= 1.0 || balancers_.random.unit() < fraction)
        {
            send_on_flow(flow);
        }
    }
    remove_finished_flows();
}

void caller_model::close_random_flows(double fraction)
{
    std::erase_if(flows_,
                  [&](const simulated_flow& flow)
                  {
                      if (!flow.target || balancers_.random.unit() >= fraction)
                      {
                          return false;
                      }
                      packet_facts facts = flow.facts;
                      facts.phase = flow_phase::finishing;
                      balancers_.send_to_random_vm(facts);
                      return true;
                  });
}

void caller_model::abandon_flows(
    const std::function<bool(target_id)>& is_abandoned)
{
    std::erase_if(flows_, [&](const simulated_flow& flow)
                  { return flow.target && is_abandoned(*flow.target); });
}

std::map<target_id, std::uint32_t> caller_model::flows_by_target() const
{
    std::map<target_id, std::uint32_t> counts;
    for (const simulated_flow& flow : flows_)
    {
        if (flow.target)
        {
            ++counts[*flow.target];
        }
    }
    return counts;
}

} // namespace catkinkeel::testing
