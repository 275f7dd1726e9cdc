#pragma once

// The settings of one daemon: its identity, its endpoints and those of the
// platform, and its limits. Read once at startup. docs/settings.md lists the
// keys.

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
    endpoint control;
    endpoint packets;

    friend auto operator<=>(const peer_settings&,
                            const peer_settings&) = default;
};

/// Settings of one daemon. Members without a default are required in the file.
struct daemon_settings
{
    vm_id id;
    std::string name;
    data_centre_id data_centre;

    /// UDP, packets of the fabric and of other entry VMs.
    endpoint packets;
    /// TCP, messages of other entry VMs.
    endpoint control;
    /// TCP, operators' HTTP. Not authenticated, hence loopback by default.
    endpoint operators{{0x7f000001}, 9080};
    /// UDP, endpoint of the fabric that forwards refusals (RST, ICMP) to
    /// callers.
    endpoint egress;

    endpoint configuration;
    endpoint vm_list;
    std::chrono::seconds max_vm_list_lag{30};
    std::string key_file;
    std::vector<peer_settings> peers;

    std::uint32_t flow_capacity = 1'000'000;
    std::chrono::seconds tcp_idle_timeout{300};
    std::chrono::seconds udp_idle_timeout{60};
    /// A target gets no new flow through the base table while its load exceeds
    /// (1 + load_bound) times the mean of its service.
    double load_bound = 0.05;

    /// Maximum control traffic that the daemon sends, in bytes per second.
    byte_count control_budget{2048};
    std::uint32_t packet_ring_capacity = 256;
    std::uint32_t control_ring_capacity = 4096;

    std::chrono::seconds shutdown_time_limit{60};
    severity log_level = severity::info;
    log_format log_encoding = log_format::key_value;
    std::uint32_t audit_capacity = 4096;

    friend auto operator<=>(const daemon_settings&,
                            const daemon_settings&) = default;
};

/// One error in a settings file.
struct settings_problem
{
    /// Counted from 1; 0 if the error has no line, as for a missing key.
    std::uint32_t line = 0;
    /// The key, for example "flows.capacity"; empty for a syntax error.
    std::string key;
    std::string message;

    friend auto operator<=>(const settings_problem&,
                            const settings_problem&) = default;
};

/// "line 7: flows.capacity: must be ...".
std::string to_string(const settings_problem& problem);

/// The settings, or all problems of the text, ordered by line.
using settings_result =
    std::variant<daemon_settings, std::vector<settings_problem>>;

/// Maximum size of a settings text. The largest files in use list a few hundred
/// peers.
constexpr byte_count max_settings_size{std::uint64_t{256} * 1024};

/// Parses and validates the whole text. Never throws.
settings_result parse_settings(std::string_view text);

/// Returns the content of docs/settings.md.
std::string settings_markdown();

} // namespace catkinkeel
