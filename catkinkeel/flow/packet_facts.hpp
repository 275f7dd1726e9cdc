#pragma once

// Input and result of a packet decision. A front end fills `packet_facts` from
// the packets that it reads and executes the verdict.

#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/identifier.hpp"

#include <compare>
#include <cstdint>
#include <variant>

namespace catkinkeel
{

/// Phase of the flow as far as it can be derived from the packet alone.
enum class flow_phase : std::uint8_t
{
    /// TCP SYN without ACK.
    opening,
    /// Any other TCP segment.
    established,
    /// TCP FIN from the caller.
    finishing,
    /// TCP RST from the caller.
    aborted,
    /// UDP; the packet does not show whether it opens a flow.
    datagram,
    /// An ICMP error that quotes a packet of the flow; never opens a flow.
    icmp_error
};

/// Attributes of one packet. `hops` counts how often entry VMs have relayed it.
struct packet_facts
{
    flow_key key;
    flow_phase phase = flow_phase::established;
    std::uint8_t hops = 0;

    friend auto operator<=>(const packet_facts&, const packet_facts&) = default;
};

/// Send the packet to this target.
struct deliver
{
    target_id target;
    endpoint where;

    friend auto operator<=>(const deliver&, const deliver&) = default;
};

/// Send the packet to another entry VM with its hop count raised by one.
struct relay
{
    vm_id vm;
    endpoint where;

    friend auto operator<=>(const relay&, const relay&) = default;
};

enum class refusal_reason : std::uint8_t
{
    /// The service has targets, but none accepts new flows now.
    no_capacity,
    /// The service has no targets.
    no_target,
    /// The limit on new flows per second of the service.
    service_rate,
    /// The limit on new flows per second of the caller's network.
    network_rate
};

/// Reply to the caller that the flow is refused (RST or ICMP). Used only for a
/// flow of which no target has received a packet.
struct refuse
{
    refusal_reason reason = refusal_reason::no_capacity;

    friend auto operator<=>(const refuse&, const refuse&) = default;
};

enum class discard_reason : std::uint8_t
{
    /// No reference in effect, or no target, for the public address.
    no_reference,
    /// The target of the flow is no longer known.
    unknown_flow,
    /// The flow may belong to either of two services, since the reference
    /// moved.
    uncertain_service,
    /// Relayed too often.
    hop_limit,
    /// No set in effect, the holder of the bucket is not known, or this VM may
    /// not open flows now.
    not_ready,
    /// The data centre of the target is out of service.
    data_centre_out,
    /// The VM to relay to is not among the known members.
    unreachable_owner,
    flow_table_full
};

/// Drop the packet without a reply; the caller is expected to retransmit it.
struct discard
{
    discard_reason reason = discard_reason::unknown_flow;

    friend auto operator<=>(const discard&, const discard&) = default;
};

using verdict = std::variant<deliver, relay, refuse, discard>;

} // namespace catkinkeel
