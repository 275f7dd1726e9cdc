#pragma once

// The catalogue of numbered events. A number is never reused for another
// meaning, because operators filter and alert on it.

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel
{

/// Event numbers. The thousands digit gives the area: 1 daemon, 2
/// configuration, 3 members (the entry VMs of the fleet), 4 data centres, 5
/// targets, 6 flows, 7 links between entry VMs and their keys, 8 the HTTP
/// endpoint for operators. The text in the catalogue says what each event
/// means.
enum class event_number : std::uint16_t
{
    daemon_started = 1001,
    startup_failed = 1002,
    shutdown_started = 1003,
    shutdown_finished = 1004,
    shutdown_time_limit = 1005,
    process_paused = 1006,
    process_validated = 1007,
    peers_silent = 1008,
    ring_full = 1009,
    events_suppressed = 1010,
    settings_reloaded = 1011,
    departure_started = 1012,
    readiness_changed = 1013,
    records_dropped = 1014,
    duty_failed = 1015,

    settings_refused = 2001,
    set_in_effect = 2002,
    set_refused = 2003,
    set_older_ignored = 2004,
    set_missing = 2005,
    chunk_mismatch = 2006,
    configuration_unreachable = 2007,
    configuration_reachable = 2008,
    vm_list_unreachable = 2009,
    vm_list_reachable = 2010,
    terms_in_effect = 2011,
    entry_rejected = 2012,
    metadata_history_lost = 2013,
    snapshot_taken = 2014,
    snapshot_failed = 2015,
    rejections_omitted = 2016,

    member_joined = 3001,
    member_suspect = 3002,
    member_dead = 3003,
    member_left = 3004,
    member_refuted = 3005,
    self_refuted = 3006,

    data_centre_out = 4001,
    data_centre_in = 4002,
    data_centre_lost = 4003,
    data_centre_found = 4004,

    target_added = 5001,
    target_removed = 5002,
    target_cold = 5003,
    target_ramping = 5004,
    target_warm = 5005,
    target_draining = 5006,
    target_unreachable = 5007,
    target_reachable = 5008,
    report_misleading = 5009,
    target_without_steward = 5010,
    target_standing = 5011,
    target_silent = 5012,
    target_lapse_doubted = 5013,
    target_standings = 5014,
    target_suspected = 5015,
    target_cleared = 5016,

    buckets_claimed = 6001,
    buckets_handed_over = 6002,
    buckets_taken_over = 6003,
    standby_incomplete = 6004,
    replication_backlog = 6005,
    flow_table_full = 6006,
    flows_refused = 6007,
    packets_dropped = 6008,
    reference_mixed = 6009,
    reference_settled = 6010,
    flow_placed = 6011,
    flow_refused = 6012,
    flow_discarded = 6013,
    flow_reset = 6014,
    admission_reduced = 6020,
    admission_restored = 6021,

    message_dropped = 7001,
    key_changed = 7002,
    key_file_refused = 7003,
    control_budget_spent = 7004,

    operators_listening = 8001,
    operators_unavailable = 8002,
    operators_request_refused = 8003
};

enum class severity : std::uint8_t
{
    debug,
    info,
    warning,
    error,
    critical
};

/// Names of the severities, indexed by enumerator value.
std::span<const std::string_view> severity_names();

std::string_view to_string(severity level);

/// Kind of change that an event records in the audit trail.
enum class change_kind : std::uint8_t
{
    none,
    set,
    member,
    data_centre,
    target,
    key
};

std::string_view to_string(change_kind kind);

/// One row of the catalogue.
struct event_definition
{
    event_number number;
    std::string_view name;
    severity level;
    /// `none` for events that are not added to the audit trail.
    change_kind change;
    /// Minimum interval between two log lines of this event; 0 for no limit.
    std::uint32_t log_period_seconds;
    /// Message text with {name} placeholders for fields.
    std::string_view text;
    /// Recommended action for operators.
    std::string_view action;
};

/// All events, ordered by number.
std::span<const event_definition> event_catalogue();

/// Returns null for a number that is not in the catalogue.
const event_definition* find_event(event_number number);

/// Names of the placeholders in the definition's text, in order of appearance.
std::vector<std::string> field_names(const event_definition& definition);

/// Content of the generated page docs/events.md.
std::string events_markdown();

/// The catalogue as a JSON array.
std::string events_json();

} // namespace catkinkeel
