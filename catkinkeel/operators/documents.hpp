#pragma once

// The answers of the operators' HTTP as plain values. The daemon fills them,
// the command-line tool reads them; docs/cli.md describes the requests.

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

/// The daemon that answers.
struct daemon_identity
{
    vm_id vm;
    std::string name;
    data_centre_id data_centre;
    std::string release;
    /// When the answer was made.
    wall_time at;

    friend auto operator<=>(const daemon_identity&,
                            const daemon_identity&) = default;
};

/// A set that was read and not put into effect.
struct refused_set
{
    set_version version;
    wall_time at;
    std::vector<std::string> errors;

    friend auto operator<=>(const refused_set&, const refused_set&) = default;
};

/// The published set as this daemon sees it.
struct set_status
{
    /// Version 0 means that no set is in effect yet.
    set_version in_effect;
    wall_time since;
    std::string published_by;
    std::optional<refused_set> last_refused;

    friend auto operator<=>(const set_status&, const set_status&) = default;
};

/// One entry VM as this daemon sees it.
struct member_status
{
    vm_id id;
    data_centre_id data_centre;
    endpoint control;
    std::uint32_t incarnation = 0;
    liveness state = liveness::alive;
    bool listed = false;
    /// Version that it last reported to have in effect.
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
    /// Buckets whose owner is there in this daemon's view.
    std::uint32_t buckets = 0;

    friend auto operator<=>(const data_centre_status&,
                            const data_centre_status&) = default;
};

/// One target as this daemon sees it.
struct target_view
{
    target_id id;
    service_id service;
    data_centre_id data_centre;
    endpoint address;
    target_wish wish = target_wish::serve;
    admission_limit_reason reason = admission_limit_reason::cold_not_steward;
    /// Flows that this daemon may hold on it and does hold.
    std::uint32_t limit = 0;
    std::uint32_t held = 0;
    /// From its latest report.
    std::uint32_t connections = 0;
    std::uint32_t busy_slots = 0;
    std::uint64_t report_age_ms = 0;
    /// VM that divides its ramp limit while it is cold; 0 if uncertain.
    vm_id steward;

    friend auto operator<=>(const target_view&, const target_view&) = default;
};

/// Buckets by this daemon's part in them.
struct bucket_status
{
    std::uint32_t held = 0;
    std::uint32_t owned = 0;
    /// Of the owned ones, those whose handover is awaited.
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

/// Control traffic in bytes.
struct control_status
{
    byte_count budget_per_second;
    byte_count sent_last_minute;
    byte_count received_last_minute;

    friend auto operator<=>(const control_status&,
                            const control_status&) = default;
};

/// A count of something by reason, for example of dropped packets.
struct reason_count
{
    std::string reason;
    std::uint64_t count = 0;

    friend auto operator<=>(const reason_count&, const reason_count&) = default;
};

/// Answer to GET /v1/status.
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

/// One entry of the audit trail with its text filled in by the daemon, so that
/// a tool of another release shows it whole.
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

/// Answer to GET /v1/audit?after=N&limit=N.
struct audit_document
{
    daemon_identity daemon;
    /// Entries that were dropped to make room.
    std::uint64_t dropped = 0;
    std::vector<audit_line> entries;

    friend bool operator==(const audit_document&,
                           const audit_document&) = default;
};

/// What the daemon would do with a packet of the flow now.
enum class explained_action : std::uint8_t
{
    deliver,
    relay,
    refuse,
    drop
};

/// What the action follows from.
enum class explained_source : std::uint8_t
{
    /// The flow's own record at its holder.
    record,
    /// An exception that another VM replicated to this one.
    replicated_exception,
    base_table,
    /// A new flow that the base table entry can't take.
    new_exception,
    /// Another VM holds the bucket.
    other_holder,
    none
};

/// A target that was considered, in the order of preference for the flow.
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

/// Answer to GET /v1/explain?caller=..&public=..&protocol=..
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
    /// Whether the answering daemon decides for the bucket.
    bool holder = false;
    /// Empty if no reference has the public endpoint.
    std::optional<reference_id> reference;
    std::optional<service_id> service;
    explained_action action = explained_action::drop;
    explained_source source = explained_source::none;
    std::optional<target_id> target;
    /// Name of the refusal or discard reason, or a sentence for people.
    std::string reason;
    std::vector<explained_candidate> candidates;

    friend bool operator==(const explain_document&,
                           const explain_document&) = default;
};

/// Encodes a document. Strings that are not UTF-8 are repaired.
template <class Document>
std::string to_json(const Document& document);

/// Decodes a document of this or an adjacent release: unknown members are
/// ignored and missing ones keep their defaults, but "kind" and "format" must
/// fit. Fails with `invalid_input`, naming the member. Never throws.
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

/// Largest answer that a reader accepts. A status document with 24,000 targets
/// measured 5.2 MB (217 bytes a target).
constexpr byte_count answer_size_limit{std::uint64_t{16} * 1024 * 1024};

/// Which audit entries are asked for: the newest `limit` above `after`.
struct audit_query
{
    std::uint64_t after = 0;
    std::uint32_t limit = 1000;

    friend auto operator<=>(const audit_query&, const audit_query&) = default;
};

/// Builds the flow key of an explain request from its decoded parameters. Fails
/// with `invalid_input`, naming the parameter.
outcome<flow_key> parse_flow(std::string_view caller,
                             std::string_view public_endpoint,
                             std::string_view transport);

/// Reads the decoded parameters of an audit request; an empty one keeps its
/// default. `limit` is at least 1. Fails with `invalid_input`, naming the
/// parameter.
outcome<audit_query> parse_audit_query(std::string_view after,
                                       std::string_view limit);

/// Path and query of a request.
std::string explain_request(const flow_key& key);
std::string audit_request(const audit_query& query);

} // namespace catkinkeel
