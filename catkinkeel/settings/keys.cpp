#include "catkinkeel/settings/internal/keys.hpp"

#include <array>
#include <sstream>

namespace catkinkeel::settings_internal
{

namespace
{

using d = daemon_settings;
using p = peer_settings;
using enum key_requirement;

constexpr value_range no_range{};
constexpr value_range vm_ids{1, 4294967295};
constexpr value_range data_centre_ids{1, 65535};

const std::array daemon_rows{
    key_definition<d>{
        "vm.id", &d::id, "", vm_ids, required, "1",
        "Identifier of this VM. Unique in the fleet; a replacement VM "
        "gets a new one."},
    key_definition<d>{"vm.name",
                      &d::name,
                      "",
                      {1, 64},
                      required,
                      "\"zilina-a-1\"",
                      "Name of this VM in status output and logs."},
    key_definition<d>{"vm.data_centre", &d::data_centre, "", data_centre_ids,
                      required, "1",
                      "Identifier of its data centre in the published set."},
    key_definition<d>{
        "endpoints.packets", &d::packets, "", no_range, required,
        "\"10.71.1.11:6080\"",
        "UDP endpoint for encapsulated packets of the fabric and of "
        "other entry VMs."},
    key_definition<d>{"endpoints.control", &d::control, "", no_range, required,
                      "\"10.71.1.11:6081\"",
                      "TCP endpoint for messages of other entry VMs."},
    key_definition<d>{
        "endpoints.operators", &d::operators, "", no_range, optional,
        "\"127.0.0.1:9080\"",
        "TCP endpoint of the operators' HTTP: status, audit, explain "
        "and metrics. It has no authentication."},
    key_definition<d>{"endpoints.egress", &d::egress, "", no_range, required,
                      "\"10.71.0.1:6080\"",
                      "UDP endpoint of the fabric that forwards refusals (TCP "
                      "RST, ICMP) to callers."},
    key_definition<d>{"platform.configuration", &d::configuration, "", no_range,
                      required, "\"10.71.0.20:8500\"",
                      "HTTP endpoint of the configuration service."},
    key_definition<d>{"platform.vm_list", &d::vm_list, "", no_range, required,
                      "\"10.71.0.21:8600\"",
                      "HTTP endpoint of the list of live and leaving VMs."},
    key_definition<d>{
        "platform.vm_list_lag",
        &d::max_vm_list_lag,
        "s",
        {1, 300},
        optional,
        "30",
        "How far the list of VMs may lag. A VM places flows on cold "
        "targets only after it has been listed for 15 s longer."},
    key_definition<d>{
        "keys.file",
        &d::key_file,
        "",
        {1, 4096},
        required,
        "\"/run/catkinkeel/keys\"",
        "File with the keys that authenticate messages between entry "
        "VMs."},
    key_definition<d>{"flows.capacity",
                      &d::flow_capacity,
                      "flows",
                      {1024, 16'000'000},
                      optional,
                      "1000000",
                      "Records of the flow table, 64 bytes each. New flows are "
                      "refused when it is full."},
    key_definition<d>{"flows.tcp_idle_timeout",
                      &d::tcp_idle_timeout,
                      "s",
                      {10, 86'400},
                      optional,
                      "300",
                      "A TCP flow without packets for this time is removed."},
    key_definition<d>{"flows.udp_idle_timeout",
                      &d::udp_idle_timeout,
                      "s",
                      {5, 86'400},
                      optional,
                      "60",
                      "A UDP flow without packets for this time is removed."},
    key_definition<d>{
        "flows.load_bound",
        &d::load_bound,
        "ratio",
        {0.01, 1},
        optional,
        "0.05",
        "How far a target may exceed the mean load of its service "
        "before new flows go to another target. A smaller value "
        "balances better and replicates more flows."},
    key_definition<d>{"control.budget",
                      &d::control_budget,
                      "B/s",
                      {1024, 1'048'576},
                      optional,
                      "2048",
                      "Maximum control traffic that the daemon sends."},
    key_definition<d>{"rings.packets",
                      &d::packet_ring_capacity,
                      "batches",
                      {16, 65'536},
                      optional,
                      "256",
                      "Packet batches that wait between the receiving and the "
                      "deciding thread; more are dropped and counted."},
    key_definition<d>{"rings.control",
                      &d::control_ring_capacity,
                      "messages",
                      {64, 65'536},
                      optional,
                      "4096",
                      "Messages that wait for the deciding thread."},
    key_definition<d>{
        "shutdown.time_limit",
        &d::shutdown_time_limit,
        "s",
        {1, 3600},
        optional,
        "60",
        "A graceful shutdown ends after this time even if buckets are "
        "not handed over."},
    key_definition<d>{"log.level", &d::log_level, "", no_range, optional,
                      "\"info\"", "Minimum severity that is logged."},
    key_definition<d>{"log.format", &d::log_encoding, "", no_range, optional,
                      "\"key_value\"",
                      "Encoding of log lines on standard error."},
    key_definition<d>{
        "audit.capacity",
        &d::audit_capacity,
        "entries",
        {16, 1'000'000},
        optional,
        "4096",
        "Changes that the audit trail holds; the oldest are dropped."},
};

const std::array peer_rows{
    key_definition<p>{"id", &p::id, "", vm_ids, required, "2",
                      "Identifier of the peer."},
    key_definition<p>{"data_centre", &p::data_centre, "", data_centre_ids,
                      required, "1", "Identifier of its data centre."},
    key_definition<p>{"control", &p::control, "", no_range, required,
                      "\"10.71.1.12:6081\"", "Its endpoints.control."},
    key_definition<p>{"packets", &p::packets, "", no_range, required,
                      "\"10.71.1.12:6080\"", "Its endpoints.packets."},
};

constexpr std::array<std::string_view, 2> format_names{"key_value", "json"};

} // namespace

std::span<const key_definition<daemon_settings>> daemon_keys()
{
    return daemon_rows;
}

std::span<const key_definition<peer_settings>> peer_keys()
{
    return peer_rows;
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
