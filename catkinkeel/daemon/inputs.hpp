#pragma once

// What the daemon's threads hand to each other through their rings.

#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/contract/messages.hpp"
#include "catkinkeel/contract/published_set.hpp"
#include "catkinkeel/flow/balancer.hpp"
#include "catkinkeel/ring/bounded_ring.hpp"
#include "catkinkeel/target/load_report.hpp"
#include "catkinkeel/target/messages.hpp"
#include "catkinkeel/target/steward.hpp"
#include "catkinkeel/vm/member.hpp"

#include <future>
#include <memory>
#include <string>
#include <variant>

namespace catkinkeel
{

// To the decide thread.

struct view_changed
{
    member_view view;
};

struct set_changed
{
    published_set_ptr set;
    placement_plan_ptr plan;
};

struct flow_message_received
{
    vm_id from;
    flow_message content;
};

struct target_update_received
{
    vm_id from;
    target_update update;
};

struct report_read
{
    target_id target;
    outcome<load_report> report;
};

/// Whether this VM may open flows and act as steward, as its peers see it.
struct standing_changed
{
    steward_view stewardship;
    bool may_open = false;
};

struct explain_requested
{
    packet_facts facts;
    std::shared_ptr<std::promise<explanation>> answer;
};

struct clock_tick
{
    instant at;
};

using decide_input =
    std::variant<view_changed, set_changed, flow_message_received,
                 target_update_received, report_read, standing_changed,
                 explain_requested, clock_tick>;
using decide_ring = bounded_ring<decide_input>;

// To the configuration thread.

struct peer_version
{
    vm_id peer;
    set_version version;
};

struct peer_gone
{
    vm_id peer;
};

struct chunk_asked
{
    vm_id from;
    chunk_request request;
};

struct chunk_part_received
{
    vm_id from;
    chunk_part part;
};

struct index_read
{
    std::string text;
};

struct chunk_read
{
    std::string name;
    std::string hash;
    std::string text;
};

struct chunk_read_failed
{
    std::string hash;
};

using configuration_input =
    std::variant<peer_version, peer_gone, chunk_asked, chunk_part_received,
                 index_read, chunk_read, chunk_read_failed, clock_tick>;
using configuration_ring = bounded_ring<configuration_input>;

// To the threads that read over HTTP.

struct chunk_order
{
    std::string name;
    std::string hash;
};
using chunk_ring = bounded_ring<chunk_order>;

struct report_order
{
    target_id target;
    endpoint where;
};
using report_ring = bounded_ring<report_order>;

} // namespace catkinkeel
