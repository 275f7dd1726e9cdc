#pragma once

// Documents that the HTTP endpoint for operators returns as JSON, as plain
// values. The daemon fills them and the command-line tool reads them;
// docs/cli.md describes the requests.
// catkinkeel/operators/internal/json_fields.hpp has the JSON name of each
// member.

#include "catkinkeel/base/byte_count.hpp"
#include "catkinkeel/base/flow_key.hpp"
#include "catkinkeel/base/identifier.hpp"
#include "catkinkeel/base/outcome.hpp"
#include "catkinkeel/base/release.hpp"
#include "catkinkeel/contract/objects.hpp"
#include "catkinkeel/event/audit_trail.hpp"
#include "catkinkeel/event/record.hpp"
#include "catkinkeel/target/admission_limit.hpp"
#include "catkinkeel/vm/member.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinkeel
{

/// Identity of the daemon that sent a document.
struct daemon_identity
{
    vm_id vm;
    std::string name;
    data_centre_id data_centre;
    std::string release;
    /// When the document was created.
    wall_time at;

    friend auto operator<=>(const daemon_identity&,
                            const daemon_identity&) = default;
};

/// A published set that failed the validation.
struct refused_set
{
    set_version version;
    /// When it was refused.
    wall_time at;
    /// What the validation found.
    std::vector<std::string> errors;

    friend auto operator<=>(const refused_set&, const refused_set&) = default;
};

/// The published set that this daemon applies.
struct set_status
{
    /// Version 0 until a set is in effect.
    set_version in_effect;
    /// When the set in effect took effect at this daemon.
    wall_time since;
    std::string published_by;
    /// The last set that was refused since then, if any.
    std::optional<refused_set> last_refused;

    friend auto operator<=>(const set_status&, const set_status&) = default;
};

/// One entry VM of the fleet as this daemon sees it; see
/// catkinkeel/vm/member.hpp.
struct member_status
{
    vm_id id;
    data_centre_id data_centre;
    /// Receives messages of its peers.
    endpoint control;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;
    /// Whether it is on the platform's VM list.
    bool listed = false;
    /// Version that the VM last reported as in effect.
    set_version in_effect;

    friend auto operator<=>(const member_status&,
                            const member_status&) = default;
};

/// One data centre of the set in effect.
struct data_centre_status
{
    data_centre_id id;
    std::string name;
    /// State that the operators request in the published set.
    data_centre_wish wish = data_centre_wish::in_service;
    /// Entry VMs that are alive or suspect in this daemon's view.
    std::uint32_t live_vms = 0;
    /// Buckets whose owner is in this data centre in the daemon's view.
    std::uint32_t buckets = 0;

    friend auto operator<=>(const data_centre_status&,
                            const data_centre_status&) = default;
};

/// State of one target at this daemon.
struct target_view
{
    target_id id;
    service_id service;
    data_centre_id data_centre;
    endpoint address;
    /// State that the operators request in the published set.
    target_wish wish = target_wish::serve;
    /// Reason for the value of `limit`.
    admission_limit_reason reason = admission_limit_reason::cold_not_steward;
    /// Maximum number of this daemon's flows on the target. At or above it the
    /// daemon places no new flow there.
    std::uint32_t limit = 0;
    /// Number of this daemon's open flows on the target.
    std::uint32_t held = 0;
    /// From the latest load report of the target.
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    /// Age of that report.
    std::uint64_t report_age_ms = 0;
    /// The steward, that is the entry VM that controls the ramp limit of the
    /// target while it is cold (catkinkeel/target/steward.hpp); 0 if unknown.
    /// This release does not fill it.
    vm_id steward;

    friend auto operator<=>(const target_view&, const target_view&) = default;
};

/// Number of buckets by this daemon's role. The owner of a bucket is the VM
/// that the bucket map assigns it to. Its holder is the VM that decides its
/// packets now; the two differ until a planned change of the owner is
/// completed.
struct bucket_status
{
    /// Buckets that this daemon holds.
    std::uint32_t held = 0;
    /// Buckets that this daemon owns.
    std::uint32_t owned = 0;
    /// Buckets that this daemon owns and does not hold yet.
    std::uint32_t awaited = 0;
    /// Buckets that this daemon takes over if their owner dies.
    std::uint32_t standby = 0;

    friend auto operator<=>(const bucket_status&,
                            const bucket_status&) = default;
};

/// Number of flows of this daemon.
struct flow_status
{
    /// Records in the flow table.
    std::uint64_t tracked = 0;
    /// Maximum number of records in the flow table.
    std::uint64_t capacity = 0;
    /// Flows opened since the daemon started.
    std::uint64_t opened = 0;
    /// Flows refused since the daemon started.
    std::uint64_t refused = 0;
    /// Flows whose target differs from their base table entry. Only these are
    /// replicated to the standby, one by one.
    std::uint64_t exceptions = 0;
    /// Base tables kept from an earlier set whose service differs from that of
    /// the set in effect. Flows of their public address follow more than one
    /// service.
    std::uint32_t mixed_references = 0;

    friend auto operator<=>(const flow_status&, const flow_status&) = default;
};

/// Replication of exceptions (see `flow_status`) between owners and standbys.
struct replication_status
{
    /// Exceptions of this daemon that their standby has not acknowledged.
    std::uint64_t backlog = 0;
    /// Age of the oldest exception in the backlog; 0 if the backlog is empty.
    std::uint64_t oldest_ms = 0;
    /// Exceptions that this daemon stores as the standby of other owners.
    std::uint64_t held_for_others = 0;

    friend auto operator<=>(const replication_status&,
                            const replication_status&) = default;
};

/// Control messages exchanged with other entry VMs, in bytes.
struct control_status
{
    byte_count budget_per_second;
    byte_count sent_last_minute;
    byte_count received_last_minute;

    friend auto operator<=>(const control_status&,
                            const control_status&) = default;
};

/// Number of occurrences with one reason since the daemon started, for example
/// of dropped packets.
struct reason_count
{
    std::string reason;
    std::uint64_t count = 0;

    friend auto operator<=>(const reason_count&, const reason_count&) = default;
};

/// Response to GET /v1/status.
struct status_document
{
    daemon_identity daemon;
    std::uint64_t uptime_seconds = 0;
    /// Whether the daemon has started its graceful shutdown.
    bool shutting_down = false;
    set_status set;
    std::vector<member_status> members;
    std::vector<data_centre_status> data_centres;
    std::vector<target_view> targets;
    bucket_status buckets;
    flow_status flows;
    replication_status replication;
    control_status control;
    std::vector<reason_count> dropped_packets;

    friend bool operator==(const status_document&,
                           const status_document&) = default;
};

/// One entry of the audit trail. The daemon renders its text, so that a tool of
/// another release can display it completely.
struct audit_line
{
    /// See `audit_entry::sequence`.
    std::uint64_t sequence = 0;
    wall_time at;
    /// Number and name of the event in the catalogue.
    std::uint16_t event = 0;
    std::string name;
    /// What changed: set, member, data_centre, target or key.
    std::string change;
    std::string text;
    set_version version;
    std::string cause;
    std::string published_by;

    friend auto operator<=>(const audit_line&, const audit_line&) = default;
};

audit_line make_audit_line(const audit_entry& entry);

/// Response to GET /v1/audit?after=N&limit=N.
struct audit_document
{
    daemon_identity daemon;
    /// Number of entries dropped because the audit trail was full.
    std::uint64_t dropped = 0;
    std::vector<audit_line> entries;

    friend bool operator==(const audit_document&,
                           const audit_document&) = default;
};

/// Action that the daemon would take now for a packet of the flow.
enum class explained_action : std::uint8_t
{
    /// Send it to a target.
    deliver,
    /// Send it to another entry VM.
    relay,
    /// Reject the new flow: no target can take it, or a rate limit is reached.
    refuse,
    /// Drop it without an answer.
    drop
};

/// Information that determines the action.
enum class explained_source : std::uint8_t
{
    /// The flow's record in the flow table.
    record,
    /// An exception that another VM replicated to this one. This release does
    /// not report it.
    replicated_exception,
    /// The base table of the public address: the flow has no record.
    base_table,
    /// A new flow whose base table entry can't accept it. This release does not
    /// report it.
    new_exception,
    /// Another VM holds the bucket.
    other_holder,
    /// The flow is refused or dropped.
    none
};

/// A target that was considered for the flow. Candidates are listed in the
/// order of preference.
struct explained_candidate
{
    target_id target;
    std::uint32_t weight = 0;
    /// As in `target_view`.
    std::uint32_t held = 0;
    std::uint32_t limit = 0;
    admission_limit_reason reason = admission_limit_reason::cold_not_steward;

    friend auto operator<=>(const explained_candidate&,
                            const explained_candidate&) = default;
};

/// Response to GET /v1/explain?caller=..&public=..&protocol=..
struct explain_document
{
    daemon_identity daemon;
    endpoint caller;
    endpoint public_endpoint;
    protocol transport = protocol::tcp;
    set_version in_effect;
    bucket_id bucket;
    /// Home data centre of the bucket: new flows of the bucket are placed with
    /// its placement table.
    data_centre_id home;
    /// The VM that the bucket map assigns the bucket to, and the one that takes
    /// it over if the owner dies; 0 if there is none.
    vm_id owner;
    vm_id standby;
    /// Whether this daemon makes the decisions for the bucket.
    bool holder = false;
    /// The reference, which binds the public endpoint to a service; empty if no
    /// reference of the set in effect does.
    std::optional<reference_id> reference;
    std::optional<service_id> service;
    explained_action action = explained_action::drop;
    explained_source source = explained_source::none;
    /// Set if the action is `deliver`.
    std::optional<target_id> target;
    /// Name of the `refusal_reason` if the flow is refused; otherwise a
    /// human-readable sentence, to which ": " and the name of the
    /// `discard_reason` are added if the packet is dropped.
    std::string reason;
    /// This release does not fill it.
    std::vector<explained_candidate> candidates;

    friend bool operator==(const explain_document&,
                           const explain_document&) = default;
};

/// Encodes a document. Invalid UTF-8 in strings is replaced by U+FFFD.
template <class Document>
std::string to_json(const Document& document);

/// Decodes a document of this or an adjacent release: unknown fields are
/// ignored and missing ones keep their defaults, but "kind" and "format" must
/// match. Fails with `limit_exceeded` if the text is longer than
/// `max_response_size`, else with `invalid_input`; the message names the path
/// of the wrong field. Never throws.
template <class Document>
outcome<Document> from_json(std::string_view text);

extern template std::string to_json(const status_document&);
extern template std::string to_json(const audit_document&);
extern template std::string to_json(const explain_document&);
extern template outcome<status_document> from_json(std::string_view);
extern template outcome<audit_document> from_json(std::string_view);
extern template outcome<explain_document> from_json(std::string_view);

constexpr std::string_view status_path = "/v1/status";
constexpr std::string_view audit_path = "/v1/audit";
constexpr std::string_view explain_path = "/v1/explain";

/// Maximum size of an HTTP response that the command-line tool accepts. A
/// status document with 24,000 targets takes 5.2 MB (217 bytes per target).
constexpr byte_count max_response_size{std::uint64_t{16} * 1024 * 1024};

/// Selects audit entries: the newest `limit` with a sequence number above
/// `after`.
struct audit_query
{
    std::uint64_t after = 0;
    std::uint32_t limit = 1000;

    friend auto operator<=>(const audit_query&, const audit_query&) = default;
};

/// Parses the URL-decoded parameters of an explain request. Fails with
/// `invalid_input` and the name of the parameter.
outcome<flow_key> parse_flow_key(std::string_view caller,
                                 std::string_view public_endpoint,
                                 std::string_view transport);

/// Parses the URL-decoded parameters of an audit request; an empty one keeps
/// its default. `limit` must be at least 1. Fails with `invalid_input` and the
/// name of the parameter.
outcome<audit_query> parse_audit_query(std::string_view after,
                                       std::string_view limit);

/// Path and query of a request.
std::string explain_request_path(const flow_key& key);
std::string audit_request_path(const audit_query& query);

} // namespace catkinkeel
