#pragma once

// Documents that the operators' HTTP endpoint returns, as plain values. The
// daemon fills them and the command-line tool reads them; docs/cli.md describes
// the requests.

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

/// A set that was read and rejected.
struct refused_set
{
    set_version version;
    wall_time at;
    std::vector<std::string> errors;

    friend auto operator<=>(const refused_set&, const refused_set&) = default;
};

/// State of the published set at this daemon.
struct set_status
{
    /// Version 0 until a set is in effect.
    set_version in_effect;
    wall_time since;
    std::string published_by;
    std::optional<refused_set> last_refused;

    friend auto operator<=>(const set_status&, const set_status&) = default;
};

/// One entry VM in the member view of this daemon.
struct member_status
{
    vm_id id;
    data_centre_id data_centre;
    endpoint control;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;
    bool listed = false;
    /// Version that the VM last reported as in effect.
    set_version in_effect;

    friend auto operator<=>(const member_status&,
                            const member_status&) = default;
};

struct data_centre_status
{
    data_centre_id id;
    std::string name;
    data_centre_wish wish = data_centre_wish::in_service;
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
    target_wish wish = target_wish::serve;
    admission_limit_reason reason = admission_limit_reason::cold_not_steward;
    /// Maximum and current number of this daemon's flows on the target.
    std::uint32_t limit = 0;
    std::uint32_t held = 0;
    /// From the latest load report of the target.
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    std::uint64_t report_age_ms = 0;
    /// VM that divides the target's ramp limit while it is cold; 0 if
    /// uncertain.
    vm_id steward;

    friend auto operator<=>(const target_view&, const target_view&) = default;
};

/// Number of buckets by this daemon's role.
struct bucket_status
{
    std::uint32_t held = 0;
    std::uint32_t owned = 0;
    /// Owned buckets that the previous holder has not handed over yet.
    std::uint32_t awaited = 0;
    std::uint32_t standby = 0;

    friend auto operator<=>(const bucket_status&,
                            const bucket_status&) = default;
};

struct flow_status
{
    std::uint64_t tracked = 0;
    std::uint64_t capacity = 0;
    std::uint64_t opened = 0;
    std::uint64_t refused = 0;
    std::uint64_t exceptions = 0;
    /// References whose flows follow more than one service.
    std::uint32_t mixed_references = 0;

    friend auto operator<=>(const flow_status&, const flow_status&) = default;
};

struct replication_status
{
    /// Exceptions that the standby has not acknowledged.
    std::uint64_t backlog = 0;
    std::uint64_t oldest_ms = 0;
    /// Exceptions held for other owners.
    std::uint64_t held_for_others = 0;

    friend auto operator<=>(const replication_status&,
                            const replication_status&) = default;
};

/// Control traffic between entry VMs in bytes.
struct control_status
{
    byte_count budget_per_second;
    byte_count sent_last_minute;
    byte_count received_last_minute;

    friend auto operator<=>(const control_status&,
                            const control_status&) = default;
};

/// Number of events for one reason, for example of dropped packets.
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
    std::uint64_t sequence = 0;
    wall_time at;
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
    deliver,
    relay,
    refuse,
    drop
};

/// Information that determines the action.
enum class explained_source : std::uint8_t
{
    /// The flow's own record at its holder.
    record,
    /// An exception that another VM replicated to this one.
    replicated_exception,
    base_table,
    /// A new flow whose base table entry can't accept it.
    new_exception,
    /// Another VM holds the bucket.
    other_holder,
    none
};

/// A target that was considered for the flow. Candidates are listed in the
/// order of preference.
struct explained_candidate
{
    target_id target;
    std::uint32_t weight = 0;
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
    data_centre_id home;
    vm_id owner;
    vm_id standby;
    /// Whether this daemon makes the decisions for the bucket.
    bool holder = false;
    /// Empty if no reference has the public endpoint.
    std::optional<reference_id> reference;
    std::optional<service_id> service;
    explained_action action = explained_action::drop;
    explained_source source = explained_source::none;
    std::optional<target_id> target;
    /// Name of the refusal or discard reason, or a human-readable sentence.
    std::string reason;
    std::vector<explained_candidate> candidates;

    friend bool operator==(const explain_document&,
                           const explain_document&) = default;
};

/// Encodes a document. Invalid UTF-8 in strings is replaced by U+FFFD.
template <class Document>
std::string to_json(const Document& document);

/// Decodes a document of this or an adjacent release: unknown members are
/// ignored and missing ones keep their defaults, but "kind" and "format" must
/// match. Fails with `limit_exceeded` if the text is too long, else with
/// `invalid_input` and the path of the member. Never throws.
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

/// Maximum size of a response that is accepted. A status document with 24,000
/// targets takes 5.2 MB (217 bytes per target).
constexpr byte_count max_response_size{std::uint64_t{16} * 1024 * 1024};

/// Selects audit entries: the newest `limit` with a sequence number above
/// `after`.
struct audit_query
{
    std::uint64_t after = 0;
    std::uint32_t limit = 1000;

    friend auto operator<=>(const audit_query&, const audit_query&) = default;
};

/// Parses the decoded parameters of an explain request. Fails with
/// `invalid_input` and the name of the parameter.
outcome<flow_key> parse_flow_key(std::string_view caller,
                                 std::string_view public_endpoint,
                                 std::string_view transport);

/// Parses the decoded parameters of an audit request; an empty one keeps its
/// default. `limit` must be at least 1. Fails with `invalid_input` and the name
/// of the parameter.
outcome<audit_query> parse_audit_query(std::string_view after,
                                       std::string_view limit);

/// Path and query of a request.
std::string explain_request_path(const flow_key& key);
std::string audit_request_path(const audit_query& query);

} // namespace catkinkeel
