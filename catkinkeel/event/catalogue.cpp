#include "catkinkeel/event/catalogue.hpp"

#include "catkinkeel/base/text_table.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace catkinkeel
{

namespace
{

constexpr std::uint32_t once_per_minute = 60; // log period in seconds
constexpr std::uint32_t once_per_ten_seconds = 10;

using enum severity;
using number = event_number;
using change = change_kind;

constexpr std::array catalogue{
    event_definition{
        number::daemon_started, "daemon_started", info, change::none, 0,
        "daemon {release} started as VM {vm} in data centre {data_centre}",
        "None."},
    event_definition{
        number::startup_failed, "startup_failed", critical, change::none, 0,
        "the daemon cannot start: {reason}",
        "Correct the cause that the text names and start the daemon again."},
    event_definition{
        number::shutdown_started, "shutdown_started", info, change::none, 0,
        "graceful shutdown started with {flows} flows and {buckets} buckets",
        "None; wait for shutdown_finished before stopping the VM."},
    event_definition{number::shutdown_finished, "shutdown_finished", info,
                     change::none, 0,
                     "graceful shutdown finished after {seconds} s", "None."},
    event_definition{number::shutdown_time_limit, "shutdown_time_limit",
                     warning, change::none, 0,
                     "shutdown time limit of {seconds} s reached with "
                     "{buckets} buckets not handed over",
                     "Check that peers are reachable; raise "
                     "shutdown.time_limit if handovers are slow."},
    event_definition{number::process_paused, "process_paused", warning,
                     change::none, once_per_minute,
                     "the process did not run for {milliseconds} ms; opening "
                     "packets wait until a peer acknowledges this VM",
                     "Look for CPU starvation or a suspended VM."},
    event_definition{number::process_validated, "process_validated", info,
                     change::none, once_per_minute,
                     "a peer acknowledged this VM with set {version}; opening "
                     "packets are decided again",
                     "None."},
    event_definition{number::peers_silent, "peers_silent", warning,
                     change::none, once_per_minute,
                     "no peer acknowledges this VM; it opens no flow",
                     "Check the control network of this VM."},
    event_definition{number::ring_full, "ring_full", warning, change::none,
                     once_per_minute,
                     "ring {ring} is full; {count} entries refused",
                     "If it repeats, the VM is overloaded: add entry VMs or "
                     "raise the ring size."},
    event_definition{number::events_suppressed, "events_suppressed", info,
                     change::none, 0,
                     "{count} events of number {number} were not logged",
                     "Look up the number in this catalogue."},
    event_definition{
        number::settings_reloaded, "settings_reloaded", info, change::none, 0,
        "settings file read again: {result}",
        "If it was refused, correct the file; the former settings stay in "
        "effect."},
    event_definition{number::departure_started, "departure_started", info,
                     change::none, 0,
                     "stop requested; not ready any more, packets are "
                     "forwarded for up to {seconds} s",
                     "None."},
    event_definition{number::readiness_changed, "readiness_changed", info,
                     change::none, 0, "ready: {ready}, because {reason}",
                     "If it stays not ready, read the reason."},
    event_definition{
        number::records_dropped, "records_dropped", warning, change::none, 0,
        "{count} log records were dropped because {reason}",
        "Lines about single flows are missing around this time; counters are "
        "complete."},
    event_definition{number::duty_failed, "duty_failed", error, change::none,
                     once_per_minute,
                     "the {duty} duty goes on after an error: {reason}",
                     "Report it to the developers with the lines before it."},

    event_definition{
        number::settings_refused, "settings_refused", error, change::none, 0,
        "settings file {file}, line {line}: {reason}",
        "Correct the file; `catkinkeel settings check FILE` checks it."},
    event_definition{
        number::set_in_effect, "set_in_effect", info, change::set, 0,
        "set {version} is in effect, published by {published_by}", "None."},
    event_definition{
        number::set_refused, "set_refused", error, change::set, 0,
        "set {version} refused, set {in_effect} stays in effect: {errors}",
        "Publish a corrected set with a higher version; `catkinkeel check` "
        "finds the same errors before publication."},
    event_definition{
        number::set_older_ignored, "set_older_ignored", warning, change::none,
        once_per_minute,
        "set {version} ignored because set {in_effect} is in effect",
        "Check the configuration service for a stale replica; to undo a "
        "change, publish the old objects with a higher version."},
    event_definition{
        number::set_missing, "set_missing", warning, change::none,
        once_per_minute, "no published set is known; all packets are dropped",
        "Check that the configuration service or a peer is reachable."},
    event_definition{
        number::chunk_mismatch, "chunk_mismatch", warning, change::none,
        once_per_minute,
        "chunk {chunk} of set {version} from {source} does not match its hash",
        "If it repeats, publish the set again; check the named source."},
    event_definition{
        number::configuration_unreachable, "configuration_unreachable", warning,
        change::none, once_per_minute,
        "configuration service {endpoint} is unreachable: {reason}",
        "Check the service; the set in effect stays in effect meanwhile."},
    event_definition{
        number::configuration_reachable, "configuration_reachable", info,
        change::none, once_per_minute,
        "configuration service {endpoint} is reachable again after {seconds} s",
        "None."},
    event_definition{
        number::vm_list_unreachable, "vm_list_unreachable", warning,
        change::none, once_per_minute,
        "VM list {endpoint} is unreachable: {reason}",
        "Check the service; cold targets may get no flows until it answers."},
    event_definition{number::vm_list_reachable, "vm_list_reachable", info,
                     change::none, once_per_minute,
                     "VM list {endpoint} is reachable again after {seconds} s",
                     "None."},
    event_definition{
        number::terms_in_effect, "terms_in_effect", info, change::set, 0,
        "terms of version {version} are in effect with {references} "
        "references, store revision {revision}",
        "None."},
    event_definition{number::entry_rejected, "entry_rejected", warning,
                     change::none, 0,
                     "entry {key} of the metadata store is not used: {reason}",
                     "Find who wrote the entry; others are not affected."},
    event_definition{
        number::metadata_history_lost, "metadata_history_lost", info,
        change::none, 0,
        "the metadata store dropped its history after revision {revision}; "
        "everything is read again",
        "None."},
    event_definition{
        number::snapshot_taken, "snapshot_taken", info, change::none, 0,
        "the metadata store is out of reach; a peer's snapshot of revision "
        "{revision} replaces revision {former}",
        "Check the network between this VM and the store."},
    event_definition{number::snapshot_failed, "snapshot_failed", info,
                     change::none, once_per_minute,
                     "no snapshot was received from another daemon: {reason}",
                     "None if the other daemons were also down or starting; "
                     "the request is repeated."},
    event_definition{
        number::rejections_omitted, "rejections_omitted", warning, change::none,
        0,
        "{entries} more entries of the metadata store at revision {revision} "
        "are not used",
        "Find who wrote the entries that entry_rejected names."},

    event_definition{number::member_joined, "member_joined", info,
                     change::member, 0,
                     "VM {vm} of data centre {data_centre} joined with "
                     "incarnation {incarnation}",
                     "None."},
    event_definition{
        number::member_suspect, "member_suspect", info, change::member, 0,
        "VM {vm} does not answer probes and is suspected",
        "None; it is declared dead or refutes the suspicion within seconds."},
    event_definition{number::member_dead, "member_dead", warning,
                     change::member, 0,
                     "VM {vm} of data centre {data_centre} is declared dead",
                     "Replace the VM unless it was removed on purpose."},
    event_definition{
        number::member_left, "member_left", info, change::member, 0,
        "VM {vm} of data centre {data_centre} left after a graceful shutdown",
        "None."},
    event_definition{
        number::member_refuted, "member_refuted", info, change::member, 0,
        "VM {vm} refuted its suspicion or death with incarnation {incarnation}",
        "If it repeats for one VM, check its load and network."},
    event_definition{number::self_refuted, "self_refuted", warning,
                     change::member, 0,
                     "this VM was suspected or declared dead and refuted it "
                     "with incarnation {incarnation}",
                     "If it repeats, check this VM's load and network."},

    event_definition{
        number::data_centre_out, "data_centre_out", info, change::data_centre,
        0, "data centre {data_centre} is out of service by set {version}",
        "None; it receives no packets from this VM from now on."},
    event_definition{number::data_centre_in, "data_centre_in", info,
                     change::data_centre, 0,
                     "data centre {data_centre} is in service by set "
                     "{version}; its targets start cold",
                     "None."},
    event_definition{
        number::data_centre_lost, "data_centre_lost", error,
        change::data_centre, 0,
        "no live VM is left in data centre {data_centre}; its buckets move",
        "Check the data centre and the links to it."},
    event_definition{number::data_centre_found, "data_centre_found", info,
                     change::data_centre, 0,
                     "data centre {data_centre} has a live VM again", "None."},

    event_definition{
        number::target_added, "target_added", info, change::target, 0,
        "target {target} of service {service} was added by set {version}",
        "None."},
    event_definition{
        number::target_removed, "target_removed", info, change::target, 0,
        "target {target} of service {service} was removed by set {version} "
        "with {flows} flows",
        "Drain a target and wait until it has no flows before removing it."},
    event_definition{
        number::target_cold, "target_cold", warning, change::target, 0,
        "target {target} has the new instance {instance} and is cold",
        "None if it was restarted on purpose; otherwise look for the cause of "
        "the restart."},
    event_definition{
        number::target_ramping, "target_ramping", info, change::target, 0,
        "target {target} is ramping from a limit of {limit} flows", "None."},
    event_definition{
        number::target_warm, "target_warm", info, change::target, 0,
        "target {target} is warm and carries up to {limit} flows", "None."},
    event_definition{number::target_draining, "target_draining", info,
                     change::target, 0,
                     "target {target} is draining with {flows} flows: {cause}",
                     "None; it may be stopped when no flows are left."},
    event_definition{
        number::target_unreachable, "target_unreachable", warning,
        change::target, 0, "report of target {target} cannot be read: {reason}",
        "Check the target; its share of new flows falls step by step."},
    event_definition{
        number::target_reachable, "target_reachable", info, change::target, 0,
        "report of target {target} is read again after {seconds} s", "None."},
    event_definition{number::report_misleading, "report_misleading", warning,
                     change::target, once_per_minute,
                     "report of target {target} says {reported} connections "
                     "but this VM holds {held} flows on it",
                     "Check the load endpoint of the target."},
    event_definition{
        number::target_without_steward, "target_without_steward", warning,
        change::none, once_per_minute,
        "cold target {target} has no certain steward and gets no flows",
        "Check the VM list; it resolves itself when the list is fresh."},
    event_definition{
        number::target_standing, "target_standing", info, change::target, 0,
        "target {target} of service {service} is {standing} at store revision "
        "{revision}",
        "None."},
    event_definition{
        number::target_silent, "target_silent", warning, change::none, 0,
        "target {target} did not answer the opening packet of flow {flow} "
        "within {milliseconds} ms, {failures} in a row; it is avoided",
        "If it repeats, check the target and the network to it."},
    event_definition{
        number::target_lapse_doubted, "target_lapse_doubted", warning,
        change::none, 0,
        "{targets} targets vanished around an outage of the metadata store "
        "and are used for up to {milliseconds} ms more",
        "Check the store."},
    event_definition{
        number::target_standings, "target_standings", info, change::none, 0,
        "the standing of {omitted} more targets changed; at store revision "
        "{revision} {open} are open, {draining} draining, {data_centre_out} in "
        "a data centre out of service and {withdrawn} withdrawn",
        "None."},
    event_definition{
        number::target_suspected, "target_suspected", warning, change::none, 0,
        "answers of target {target} look like errors: {own} of this daemon's "
        "own flows, {reports} reported by {reporters} other daemons; it gets "
        "fewer new flows",
        "Look for errors in the log of the target; if many targets are "
        "suspected at once, look for what they have in common."},
    event_definition{
        number::target_cleared, "target_cleared", info, change::none, 0,
        "target {target} is no longer suspected after {milliseconds} ms: "
        "{reason}",
        "None; if it alternates with target_suspected, the target fails a part "
        "of its requests."},

    event_definition{
        number::buckets_claimed, "buckets_claimed", info, change::none, 0,
        "claimed {buckets} buckets from {vms} VMs in round {round}", "None."},
    event_definition{number::buckets_handed_over, "buckets_handed_over", info,
                     change::none, 0,
                     "handed {buckets} buckets over to their owners", "None."},
    event_definition{
        number::buckets_taken_over, "buckets_taken_over", warning, change::none,
        0, "took {buckets} buckets over that no live VM held", "None."},
    event_definition{
        number::standby_incomplete, "standby_incomplete", warning, change::none,
        once_per_minute,
        "took {buckets} buckets over without a complete replica; packets "
        "without a certain service are dropped",
        "Expect some broken flows; look at why two VMs failed in short order."},
    event_definition{number::replication_backlog, "replication_backlog",
                     warning, change::none, once_per_minute,
                     "{exceptions} exceptions wait to be replicated, the "
                     "oldest for {milliseconds} ms",
                     "Postpone further changes until it falls; raise "
                     "control.budget if it persists."},
    event_definition{
        number::flow_table_full, "flow_table_full", error, change::none,
        once_per_minute,
        "flow table of {capacity} records is full; new flows are refused",
        "Add entry VMs or raise flows.capacity."},
    event_definition{number::flows_refused, "flows_refused", warning,
                     change::none, once_per_minute,
                     "{count} flows refused: {reason}",
                     "For no_capacity or no_target add or undrain targets; for "
                     "a rate limit check the callers."},
    event_definition{number::packets_dropped, "packets_dropped", warning,
                     change::none, once_per_minute,
                     "{count} packets dropped: {reason}",
                     "For no_reference check what is published; for hop_limit "
                     "compare the member views of the VMs."},
    event_definition{number::reference_mixed, "reference_mixed", info,
                     change::none, 0,
                     "reference {reference} moved from service {from} to "
                     "service {to}; its flows are replicated",
                     "None."},
    event_definition{number::reference_settled, "reference_settled", info,
                     change::none, 0,
                     "all flows of reference {reference} follow service "
                     "{service} or are replicated",
                     "None."},
    event_definition{
        number::flow_placed, "flow_placed", info, change::none, 0,
        "flow {flow} copy {copy} of reference {reference} opens at {target}: "
        "{candidates} candidates, {avoided} avoided, {in_flight} flows in "
        "flight there, {trust}; terms {version}, view {view_ms} ms old",
        "None."},
    event_definition{
        number::flow_refused, "flow_refused", info, change::none, 0,
        "flow {flow} refused: {reason}; terms {version}, view {view_ms} ms old",
        "For no_target, look for target_standing of the service's targets; for "
        "held_back and out_of_time, for admission_reduced."},
    event_definition{
        number::flow_discarded, "flow_discarded", info, change::none, 0,
        "packet of flow {flow} dropped: {reason}; terms {version}, view "
        "{view_ms} ms old",
        "For no_view, look for configuration_unreachable."},
    event_definition{
        number::flow_reset, "flow_reset", info, change::none, 0,
        "flow {flow} reset because target {target} does not acknowledge data, "
        "by rule {rule}: {copies} copies of it unanswered, {target_copies} of "
        "all flows here, {reporters} daemons report silence; terms {version}, "
        "view {view_ms} ms old",
        "If target_standing does not show soon that the target was withdrawn, "
        "check the target and the network to it."},
    event_definition{
        number::admission_reduced, "admission_reduced", warning, change::none,
        once_per_ten_seconds,
        "service {service} holds back openings of references of less value: "
        "exchanges wait {wait_ms} ms beyond their work, {rejected_percent} % "
        "of the answers look like rejections",
        "Look for targets that left or became slow, and for a surge of "
        "callers."},
    event_definition{
        number::admission_restored, "admission_restored", info, change::none,
        once_per_ten_seconds,
        "service {service} admits openings of all references again; exchanges "
        "wait {wait_ms} ms beyond their work, {rejected_percent} % of the "
        "answers look like rejections",
        "None."},

    event_definition{number::message_dropped, "message_dropped", warning,
                     change::none, once_per_minute,
                     "{count} messages of VM {vm} dropped: {reason}",
                     "For bad_mac or unknown_key compare the key files; for "
                     "unknown_sender compare the VM list."},
    event_definition{
        number::key_changed, "key_changed", info, change::key, 0,
        "key {key} is now used to send; keys {accepted} are accepted",
        "Remove the old key from the key files when every VM has logged this "
        "event."},
    event_definition{
        number::key_file_refused, "key_file_refused", error, change::key, 0,
        "key file {file} refused, the former keys stay in use: {reason}",
        "Correct the key file."},
    event_definition{
        number::control_budget_spent, "control_budget_spent", warning,
        change::none, once_per_minute,
        "control budget of {budget} B/s is spent; {count} messages wait",
        "Postpone further changes until it falls; raise control.budget if it "
        "persists."},

    event_definition{number::operators_listening, "operators_listening", info,
                     change::none, 0, "operators' HTTP listens on {endpoint}",
                     "None."},
    event_definition{number::operators_unavailable, "operators_unavailable",
                     error, change::none, 0,
                     "operators' HTTP cannot listen on {endpoint}: {reason}",
                     "Free the endpoint or change endpoints.operators; "
                     "forwarding is not affected."},
    event_definition{number::operators_request_refused,
                     "operators_request_refused", info, change::none,
                     once_per_minute,
                     "request {path} from {caller} refused: {reason}",
                     "None unless it repeats; then check the caller."},
};

static_assert(std::ranges::is_sorted(catalogue, {}, &event_definition::number));

std::string number_text(const event_definition& row)
{
    return std::to_string(static_cast<unsigned>(row.number));
}

} // namespace

std::span<const std::string_view> severity_names()
{
    static constexpr std::array<std::string_view, 5> names{
        "debug", "info", "warning", "error", "critical"};
    return names;
}

std::string_view to_string(severity level)
{
    return severity_names()[static_cast<std::size_t>(level)];
}

std::string_view to_string(change_kind kind)
{
    constexpr std::array<std::string_view, 6> names{
        "none", "set", "member", "data_centre", "target", "key"};
    return names.at(static_cast<std::size_t>(kind));
}

std::span<const event_definition> event_catalogue()
{
    return catalogue;
}

const event_definition* find_event(event_number number)
{
    const auto* const found = std::ranges::lower_bound(
        catalogue, number, {}, &event_definition::number);
    return found != catalogue.end() && found->number == number ? found
                                                               : nullptr;
}

std::vector<std::string> field_names(const event_definition& definition)
{
    std::vector<std::string> names;
    std::string_view rest = definition.text;
    // Each "{" in a text starts a placeholder and has a matching "}".
    for (std::size_t open = rest.find('{'); open != std::string_view::npos;
         open = rest.find('{'))
    {
        const std::size_t close = rest.find('}', open);
        names.emplace_back(rest.substr(open + 1, close - open - 1));
        rest.remove_prefix(close + 1);
    }
    return names;
}

std::string events_markdown()
{
    text_table table{.header = {"number", "name", "severity", "logged at most",
                                "audit", "text", "what to do"},
                     .rows = {}};
    for (const event_definition& row : catalogue)
    {
        table.rows.push_back(
            {number_text(row), "`" + std::string(row.name) + "`",
             std::string(to_string(row.level)),
             row.log_period_seconds == 0
                 ? "always"
                 : "once per " + std::to_string(row.log_period_seconds) + " s",
             row.change == change_kind::none
                 ? ""
                 : std::string(to_string(row.change)),
             std::string(row.text), std::string(row.action)});
    }
    return "# Events\n\n"
           "Generated by `catkinkeel events --markdown`; do not edit.\n\n"
           "The thousands of a number give the area: 1 daemon, 2 "
           "configuration,\n3 members, 4 data centres, 5 targets, 6 flows, 7 "
           "links and keys, 8 operators'\nHTTP. A number keeps its meaning in "
           "later releases. Names in braces are fields\nof the log line. An "
           "event with a limit carries `suppressed`, the number of its\n"
           "occurrences that were not logged since the last line. Events with "
           "an audit kind\nalso enter the audit trail (`catkinkeel audit`), "
           "which records every\noccurrence.\n\n" +
           to_markdown(table);
}

std::string events_json()
{
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (const event_definition& row : catalogue)
    {
        rows.push_back({{"number", static_cast<unsigned>(row.number)},
                        {"name", row.name},
                        {"severity", to_string(row.level)},
                        {"log_period_seconds", row.log_period_seconds},
                        {"audit", to_string(row.change)},
                        {"text", row.text},
                        {"fields", field_names(row)},
                        {"action", row.action}});
    }
    return rows.dump(2) + "\n";
}

} // namespace catkinkeel
