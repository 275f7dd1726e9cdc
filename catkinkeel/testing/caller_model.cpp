#include "catkinkeel/testing/caller_model.hpp"

#include <algorithm>
#include <utility>

namespace catkinkeel::testing
{

namespace
{

/// A caller's first retransmission of an unanswered SYN (RFC 6298).
constexpr duration opening_timeout = 1s;
constexpr duration caller_patience = 15s;
constexpr duration settled_after = 5s;

} // namespace

caller_model::caller_model(packet_carrier& carrier, endpoint public_endpoint,
                           std::function<service_id(target_id)> service_of,
                           std::uint32_t caller_base)
    : carrier_(carrier),
      public_endpoint_(public_endpoint),
      service_of_(std::move(service_of)),
      next_caller_(caller_base)
{
}

void caller_model::open(std::uint32_t count, std::optional<service_id> service)
{
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const std::uint32_t number = next_caller_++;
        open_flow flow;
        flow.facts.key = {{ipv4_address{number},
                           static_cast<std::uint16_t>(1024 + number % 60000)},
                          public_endpoint_,
                          protocol::tcp};
        flow.service = service.value_or(service_id{});
        flow.opened_at = carrier_.now();
        attempt_opening(flow);
        flows_.push_back(flow);
    }
    forget_finished();
}

void caller_model::forget_finished()
{
    std::erase_if(flows_, [](const open_flow& flow) { return flow.over; });
}

void caller_model::attempt_opening(open_flow& flow)
{
    ++counts_.packets;
    packet_facts facts = flow.facts;
    facts.phase = flow_phase::opening;
    const packet_end end = carrier_.spray(facts);
    if (const auto* reached = std::get_if<delivered>(&end))
    {
        ++counts_.opened;
        counts_.served_within_1s +=
            carrier_.now() - flow.opened_at <= opening_timeout ? 1U : 0U;
        flow.target = reached->target;
        const service_id service = service_of_(reached->target);
        if (flow.service == service_id{})
        {
            flow.service = service;
        }
        counts_.misdirected += service == flow.service ? 0U : 1U;
        return;
    }
    flow.retry_at = carrier_.now() + opening_timeout;
    if (std::holds_alternative<refused>(end))
    {
        ++counts_.refused;
        flow.over = true;
        return;
    }
    ++counts_.packets_lost;
    if (carrier_.now() - flow.opened_at > caller_patience)
    {
        ++counts_.never_served;
        flow.over = true;
    }
}

void caller_model::send_one(open_flow& flow)
{
    if (!flow.target)
    {
        if (carrier_.now() >= flow.retry_at)
        {
            attempt_opening(flow);
        }
        return;
    }
    ++counts_.packets;
    const packet_end end = carrier_.spray(flow.facts);
    const auto* reached = std::get_if<delivered>(&end);
    if (reached == nullptr)
    {
        ++counts_.packets_lost;
        return;
    }
    if (reached->target == flow.target)
    {
        return;
    }
    counts_.misdirected +=
        service_of_(reached->target) == flow.service ? 0U : 1U;
    flow.wrong_service |= service_of_(reached->target) != flow.service;
    if (!flow.broken)
    {
        flow.broken = true;
        ++counts_.broken;
        counts_.broken_settled +=
            settled_at_ && *settled_at_ - flow.opened_at >= settled_after ? 1U
                                                                          : 0U;
    }
}

void caller_model::send_all()
{
    send_some(1.0);
}

void caller_model::send_some(double part)
{
    for (open_flow& flow : flows_)
    {
        if (part >= 1.0 || carrier_.random.unit() < part)
        {
            send_one(flow);
        }
    }
    forget_finished();
}

void caller_model::close_some(double part)
{
    std::erase_if(flows_,
                  [&](const open_flow& flow)
                  {
                      if (!flow.target || carrier_.random.unit() >= part)
                      {
                          return false;
                      }
                      packet_facts facts = flow.facts;
                      facts.phase = flow_phase::finishing;
                      carrier_.spray(facts);
                      return true;
                  });
}

void caller_model::give_up(const std::function<bool(target_id)>& given_up)
{
    std::erase_if(flows_, [&](const open_flow& flow)
                  { return flow.target && given_up(*flow.target); });
}

std::map<target_id, std::uint32_t> caller_model::flows_by_target() const
{
    std::map<target_id, std::uint32_t> counts;
    for (const open_flow& flow : flows_)
    {
        if (flow.target)
        {
            ++counts[*flow.target];
        }
    }
    return counts;
}

} // namespace catkinkeel::testing
