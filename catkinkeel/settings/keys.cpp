#include "catkinkeel/settings/internal/keys.hpp"

#include <array>
#include <sstream>

namespace catkinkeel::settings_internal
{

namespace
{

using daemon = daemon_settings;
using peer = peer_settings;
using enum key_requirement;

constexpr value_range no_range{};
constexpr value_range vm_id_range{1, 4294967295};
constexpr value_range data_centre_id_range{1, 65535};

const std::array daemon_key_definitions{
    key_definition<daemon>{
        "vm.id", &daemon::id, "", vm_id_range, required, "1",
        "Identifier of this VM. Unique in the fleet; a replacement VM "
        "gets a new one."},
    key_definition<daemon>{"vm.name",
                           &daemon::name,
                           "",
                           {1, 64},
                           required,
                           "\"zilina-a-1\"",
                           "Name of this VM in status output and logs."},
    key_definition<daemon>{
        "vm.data_centre", &daemon::data_centre, "", data_centre_id_range,
        required, "1",
        "Identifier, in the published set, of the data centre of "
        "this VM."},
    key_definition<daemon>{
        "endpoints.packets", &daemon::packets, "", no_range, required,
        "\"10.71.1.11:6080\"",
        "UDP endpoint for encapsulated packets of the fabric and of "
        "other entry VMs."},
    key_definition<daemon>{"endpoints.control", &daemon::control, "", no_range,
                           required, "\"10.71.1.11:6081\"",
                           "TCP endpoint for messages of other entry VMs."},
    key_definition<daemon>{
        "endpoints.operators", &daemon::operators, "", no_range, optional,
        "\"127.0.0.1:9080\"",
        "TCP endpoint of the HTTP server for operators: status, audit "
        "trail, explanations of flows and metrics. It has no "
        "authentication."},
    key_definition<daemon>{
        "endpoints.egress", &daemon::egress, "", no_range, required,
        "\"10.71.0.1:6080\"",
        "UDP endpoint of the fabric that forwards refusals (TCP "
        "RST, ICMP) to callers."},
    key_definition<daemon>{"platform.configuration", &daemon::configuration, "",
                           no_range, required, "\"10.71.0.20:8500\"",
                           "HTTP endpoint of the configuration service."},
    key_definition<daemon>{
        "platform.vm_list", &daemon::vm_list, "", no_range, required,
        "\"10.71.0.21:8600\"",
        "HTTP endpoint that serves the list of live and leaving VMs."},
    key_definition<daemon>{
        "platform.vm_list_lag",
        &daemon::max_vm_list_lag,
        "s",
        {1, 300},
        optional,
        "30",
        "Maximum delay until a change shows in the list of VMs. A VM "
        "places flows on cold targets only after the list has named it "
        "without interruption for this delay plus 15 s."},
    key_definition<daemon>{
        "keys.file",
        &daemon::key_file,
        "",
        {1, 4096},
        required,
        "\"/run/catkinkeel/keys\"",
        "Path of the file with the cryptographic keys that authenticate "
        "messages between entry VMs."},
    key_definition<daemon>{
        "flows.capacity",
        &daemon::flow_capacity,
        "flows",
        {1024, 16'000'000},
        optional,
        "1000000",
        "Maximum number of flows in the flow table, 64 bytes "
        "each. New flows are refused while it is full."},
    key_definition<daemon>{
        "flows.tcp_idle_timeout",
        &daemon::tcp_idle_timeout,
        "s",
        {10, 86'400},
        optional,
        "300",
        "Time without packets after which a TCP flow is removed."},
    key_definition<daemon>{
        "flows.udp_idle_timeout",
        &daemon::udp_idle_timeout,
        "s",
        {5, 86'400},
        optional,
        "60",
        "Time without packets after which a UDP flow is removed."},
    key_definition<daemon>{
        "flows.load_bound",
        &daemon::load_bound,
        "ratio",
        {0.01, 1},
        optional,
        "0.05",
        "Ratio by which a target's open flows may exceed their expected "
        "share. Beyond it, new flows that hash to the target go to the "
        "least loaded target. A smaller value balances better and "
        "replicates more flows."},
    key_definition<daemon>{
        "control.budget",
        &daemon::control_budget,
        "B/s",
        {1024, 1'048'576},
        optional,
        "2048",
        "Maximum rate of the control traffic that the daemon "
        "sends, averaged over a minute."},
    key_definition<daemon>{
        "rings.packets",
        &daemon::packet_ring_capacity,
        "batches",
        {16, 65'536},
        optional,
        "256",
        "Packet batches allocated for the queue from the receive "
        "thread to the decider thread, about 140 KB each. While "
        "all are in use, packets wait in the socket's receive "
        "buffer; the kernel drops those that exceed it, and the "
        "daemon counts them."},
    key_definition<daemon>{"rings.control",
                           &daemon::control_ring_capacity,
                           "messages",
                           {64, 65'536},
                           optional,
                           "4096",
                           "Capacity of each queue of control messages between "
                           "threads."},
    key_definition<daemon>{
        "shutdown.time_limit",
        &daemon::shutdown_time_limit,
        "s",
        {1, 3600},
        optional,
        "60",
        "Time after which a graceful shutdown ends even if buckets "
        "(groups of flows by hash) are not yet handed over to other VMs."},
    key_definition<daemon>{"log.level", &daemon::log_level, "", no_range,
                           optional, "\"info\"",
                           "Minimum severity that is logged."},
    key_definition<daemon>{"log.format", &daemon::log_encoding, "", no_range,
                           optional, "\"key_value\"",
                           "Format of log lines on standard error."},
    key_definition<daemon>{
        "audit.capacity",
        &daemon::audit_capacity,
        "entries",
        {16, 1'000'000},
        optional,
        "4096",
        "Maximum number of changes in the audit trail; the oldest are "
        "dropped."},
};

const std::array peer_key_definitions{
    key_definition<peer>{"id", &peer::id, "", vm_id_range, required, "2",
                         "Identifier of the peer."},
    key_definition<peer>{"data_centre", &peer::data_centre, "",
                         data_centre_id_range, required, "1",
                         "Identifier of the peer's data centre."},
    key_definition<peer>{"control", &peer::control, "", no_range, required,
                         "\"10.71.1.12:6081\"",
                         "The peer's `endpoints.control`."},
    key_definition<peer>{"packets", &peer::packets, "", no_range, required,
                         "\"10.71.1.12:6080\"",
                         "The peer's `endpoints.packets`."},
};

/// Indexed by `log_format`.
constexpr std::array<std::string_view, 2> format_names{"key_value", "json"};

} // namespace

std::span<const key_definition<daemon_settings>> daemon_keys()
{
    return daemon_key_definitions;
}

std::span<const key_definition<peer_settings>> peer_keys()
{
    return peer_key_definitions;
}

std::string_view type_name(vm_id)
{
    return "integer";
}
std::string_view type_name(data_centre_id)
{
    return "integer";
}
std::string_view type_name(const endpoint&)
{
    return "endpoint";
}
std::string_view type_name(const std::string&)
{
    return "string";
}
std::string_view type_name(std::uint32_t)
{
    return "integer";
}
std::string_view type_name(byte_count)
{
    return "integer";
}
std::string_view type_name(std::chrono::seconds)
{
    return "integer";
}
std::string_view type_name(double)
{
    return "number";
}
std::string_view type_name(severity)
{
    return "severity";
}
std::string_view type_name(log_format)
{
    return "format";
}

std::span<const std::string_view> names_of(severity)
{
    return severity_names();
}
std::span<const std::string_view> names_of(log_format)
{
    return format_names;
}

std::string format_number(double value)
{
    std::ostringstream text;
    text.precision(12);
    text << value;
    return text.str();
}

} // namespace catkinkeel::settings_internal
