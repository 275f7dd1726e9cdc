#pragma once

// The settings of one daemon: its identity, its endpoints and those of the
// platform (the organisation's services that provide the published set and the
// list of VMs), and its limits. Read once at startup. docs/settings.md lists
// the keys.

#include "catkinkeel/base/address.hpp"
#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/base/text_file.hpp"
#include "catkinkeel/event/record.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkinkeel
{

/// An entry VM that is contacted before the platform's list has been read.
struct peer_settings
{
    vm_id id;
    data_centre_id data_centre;
    /// `daemon_settings::control` and `daemon_settings::packets` of the peer.
    endpoint control;
    endpoint packets;

    friend auto operator<=>(const peer_settings&,
                            const peer_settings&) = default;
};

/// Settings of one daemon. Members without a default are required in the file,
/// except `peers`, which may be empty.
struct daemon_settings
{
    vm_id id;
    std::string name;
    data_centre_id data_centre;

    /// UDP, encapsulated packets from the fabric (the organisation's network,
    /// which forwards callers' packets) and from other entry VMs.
    endpoint packets;
    /// TCP, messages from other entry VMs.
    endpoint control;
    /// TCP, HTTP server for operators. It has no authentication, so the default
    /// address is the loopback address.
    endpoint operators{{0x7f000001}, 9080};
    /// UDP, endpoint of the fabric that forwards refusals (RST, ICMP) to
    /// callers.
    endpoint egress;

    /// HTTP, the configuration service, which provides the published set.
    endpoint configuration;
    /// HTTP, the service that lists live and leaving VMs.
    endpoint vm_list;
    /// Maximum delay until a change shows in the list of VMs.
    std::chrono::seconds max_vm_list_lag{30};
    /// Path of the file with the cryptographic keys that authenticate messages
    /// between entry VMs.
    std::string key_file;
    std::vector<peer_settings> peers;

    /// Maximum number of flows in the flow table.
    std::uint32_t flow_capacity = 1'000'000;
    std::chrono::seconds tcp_idle_timeout{300};
    std::chrono::seconds udp_idle_timeout{60};
    /// The hash of a new flow selects a target. If this VM's open flows on that
    /// target would exceed (1 + load_bound) times its expected share of the
    /// service's open flows, the least loaded target gets the flow instead;
    /// very small numbers of flows are exempt.
    double load_bound = 0.05;

    /// Maximum rate of the control traffic that the daemon sends, in bytes per
    /// second, averaged over a minute.
    byte_count control_budget{2048};
    /// Packet batches (of about 140 KB each) for the queue from the receive
    /// thread to the decider thread.
    std::uint32_t packet_ring_capacity = 256;
    /// Capacity, in messages, of each ring for control messages.
    std::uint32_t control_ring_capacity = 4096;

    std::chrono::seconds shutdown_time_limit{60};
    severity log_level = severity::info;
    /// The setting `log.format`.
    log_format log_encoding = log_format::key_value;
    /// Maximum number of changes in the audit trail.
    std::uint32_t audit_capacity = 4096;

    friend auto operator<=>(const daemon_settings&,
                            const daemon_settings&) = default;
};

/// One problem that makes a settings file invalid.
struct settings_problem
{
    /// Counted from 1; 0 if the problem has no line, as for a missing key.
    std::uint32_t line = 0;
    /// The key, for example "flows.capacity"; empty for a syntax error or an
    /// exceeded limit of the text.
    std::string key;
    std::string message;

    friend auto operator<=>(const settings_problem&,
                            const settings_problem&) = default;
};

/// Formats the problem as one line, for example
/// "line 7: flows.capacity: must be an integer, not a string".
std::string to_string(const settings_problem& problem);

/// The settings, or all problems of the text, ordered by line.
using settings_result =
    std::variant<daemon_settings, std::vector<settings_problem>>;

/// Maximum size of a settings text, 256 KiB. The largest files in use list a
/// few hundred peers of about 100 bytes each; the limit bounds the memory that
/// the daemon uses for a wrong file.
constexpr byte_count max_settings_size{std::uint64_t{256} * 1024};

/// Parses and validates the whole text. Never throws.
settings_result parse_settings(std::string_view text);

/// Returns the content of docs/settings.md.
std::string settings_markdown();

} // namespace catkinkeel
