#pragma once

// The messages that entry VMs, the VMs that run the load balancer daemon, send
// to each other.

#include "catkinkeel/contract/messages.hpp"
#include "catkinkeel/flow/messages.hpp"
#include "catkinkeel/target/messages.hpp"
#include "catkinkeel/vm/messages.hpp"

#include <variant>

namespace catkinkeel
{

using message = std::variant<probe, probe_ack, probe_request, leave, replicate,
                             replicate_ack, claim, handover, handover_ack,
                             chunk_request, chunk_part, target_update>;

/// A message and the other VM: the destination of an outgoing message, the
/// source of a received one.
struct peer_message
{
    vm_id peer;
    message content;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

} // namespace catkinkeel
