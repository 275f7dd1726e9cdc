#pragma once

// Messages that the daemon's threads pass to each other through bounded rings.

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

// Inputs of the decide thread, which decides on packets and owns the state of
// flows and targets.

/// The member view has changed.
struct view_changed
{
    member_view view;
};

/// A new published set is in effect.
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

/// Result of reading the load report of a target.
struct load_report_read
{
    target_id target;
    outcome<load_report> report;
};

/// Whether this VM may open flows, and the part of the member view that
/// determines whether it may act as steward. Sent periodically, and at once
/// when the permission to open flows changes.
struct permissions_changed
{
    steward_view stewardship;
    bool may_open_flows = false;
};

/// An operator requests an explanation of the decision for a flow.
struct explain_requested
{
    packet_facts facts;
    std::shared_ptr<std::promise<explanation>> result;
};

/// Runs the periodic work. Handlers use their own reading of the clock.
struct clock_tick
{
    instant at;
};

using decide_input =
    std::variant<view_changed, set_changed, flow_message_received,
                 target_update_received, load_report_read, permissions_changed,
                 explain_requested, clock_tick>;
using decide_ring = bounded_ring<decide_input>;

// Inputs of the configuration thread, which runs the `set_store`.

/// A probe or its acknowledgement reported the version in effect at a peer.
struct peer_version_received
{
    vm_id peer;
    set_version version;
};

/// The member view has changed a peer's state to dead.
struct peer_declared_dead
{
    vm_id peer;
};

struct chunk_request_received
{
    vm_id from;
    chunk_request request;
};

struct chunk_part_received
{
    vm_id from;
    chunk_part part;
};

/// The configuration service returned an index.
struct index_read
{
    std::string text;
};

/// The configuration service returned the chunk of a `chunk_read_request`.
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
    std::variant<peer_version_received, peer_declared_dead,
                 chunk_request_received, chunk_part_received, index_read,
                 chunk_read, chunk_read_failed, clock_tick>;
using configuration_ring = bounded_ring<configuration_input>;

// Requests to the threads that read over HTTP.

/// A chunk to read from the configuration service.
struct chunk_read_request
{
    std::string name;
    std::string hash;
};
using chunk_read_ring = bounded_ring<chunk_read_request>;

/// A target whose load report is to be read.
struct load_report_request
{
    target_id target;
    endpoint report_endpoint;
};
using load_report_ring = bounded_ring<load_report_request>;

} // namespace catkinkeel
