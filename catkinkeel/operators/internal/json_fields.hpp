#pragma once

// Tables of the fields of each JSON document: the name of a field and the
// struct member that holds its value.

#include "catkinkeel/operators/documents.hpp"

#include <string_view>
#include <tuple>

namespace catkinkeel::operators_internal
{

/// A field `name` of a JSON object that encodes a `Struct`.
template <class Struct, class Value>
struct json_field
{
    std::string_view name;
    Value Struct::*member_pointer;
};

template <class Struct, class Value>
json_field(const char*, Value Struct::*) -> json_field<Struct, Value>;

/// JSON object that encodes a `T`. Specialized for each document type and each
/// struct in one; `fields` is a tuple of `json_field` values.
template <class T>
struct document_fields;

template <class T>
concept has_json_fields = requires
{
    document_fields<T>::fields;
};

/// Value of the field "kind" of a document, which tells the documents apart.
template <class Document>
constexpr std::string_view document_kind;
template <>
inline constexpr std::string_view document_kind<status_document> = "status";
template <>
inline constexpr std::string_view document_kind<audit_document> = "audit";
template <>
inline constexpr std::string_view document_kind<explain_document> = "explain";

template <>
struct document_fields<daemon_identity>
{
    using t = daemon_identity;
    static constexpr std::tuple fields{
        json_field{"vm", &t::vm}, json_field{"name", &t::name},
        json_field{"data_centre", &t::data_centre},
        json_field{"release", &t::release}, json_field{"at", &t::at}};
};

template <>
struct document_fields<refused_set>
{
    using t = refused_set;
    static constexpr std::tuple fields{json_field{"version", &t::version},
                                       json_field{"at", &t::at},
                                       json_field{"errors", &t::errors}};
};

template <>
struct document_fields<set_status>
{
    using t = set_status;
    static constexpr std::tuple fields{
        json_field{"in_effect", &t::in_effect}, json_field{"since", &t::since},
        json_field{"published_by", &t::published_by},
        json_field{"last_refused", &t::last_refused}};
};

template <>
struct document_fields<member_status>
{
    using t = member_status;
    static constexpr std::tuple fields{
        json_field{"id", &t::id},
        json_field{"data_centre", &t::data_centre},
        json_field{"control", &t::control},
        json_field{"incarnation", &t::incarnation},
        json_field{"state", &t::state},
        json_field{"listed", &t::listed},
        json_field{"in_effect", &t::in_effect}};
};

template <>
struct document_fields<data_centre_status>
{
    using t = data_centre_status;
    static constexpr std::tuple fields{
        json_field{"id", &t::id}, json_field{"name", &t::name},
        json_field{"wish", &t::wish}, json_field{"live_vms", &t::live_vms},
        json_field{"buckets", &t::buckets}};
};

template <>
struct document_fields<target_view>
{
    using t = target_view;
    static constexpr std::tuple fields{
        json_field{"id", &t::id},
        json_field{"service", &t::service},
        json_field{"data_centre", &t::data_centre},
        json_field{"address", &t::address},
        json_field{"wish", &t::wish},
        json_field{"reason", &t::reason},
        json_field{"limit", &t::limit},
        json_field{"held", &t::held},
        json_field{"connections", &t::connections},
        json_field{"busy_slots", &t::busy_slots},
        json_field{"report_age_ms", &t::report_age_ms},
        json_field{"steward", &t::steward}};
};

template <>
struct document_fields<bucket_status>
{
    using t = bucket_status;
    static constexpr std::tuple fields{
        json_field{"held", &t::held}, json_field{"owned", &t::owned},
        json_field{"awaited", &t::awaited}, json_field{"standby", &t::standby}};
};

template <>
struct document_fields<flow_status>
{
    using t = flow_status;
    static constexpr std::tuple fields{
        json_field{"tracked", &t::tracked},
        json_field{"capacity", &t::capacity},
        json_field{"opened", &t::opened},
        json_field{"refused", &t::refused},
        json_field{"exceptions", &t::exceptions},
        json_field{"mixed_references", &t::mixed_references}};
};

template <>
struct document_fields<replication_status>
{
    using t = replication_status;
    static constexpr std::tuple fields{
        json_field{"backlog", &t::backlog},
        json_field{"oldest_ms", &t::oldest_ms},
        json_field{"held_for_others", &t::held_for_others}};
};

template <>
struct document_fields<control_status>
{
    using t = control_status;
    static constexpr std::tuple fields{
        json_field{"budget_per_second", &t::budget_per_second},
        json_field{"sent_last_minute", &t::sent_last_minute},
        json_field{"received_last_minute", &t::received_last_minute}};
};

template <>
struct document_fields<reason_count>
{
    using t = reason_count;
    static constexpr std::tuple fields{json_field{"reason", &t::reason},
                                       json_field{"count", &t::count}};
};

template <>
struct document_fields<status_document>
{
    using t = status_document;
    static constexpr std::tuple fields{
        json_field{"daemon", &t::daemon},
        json_field{"uptime_seconds", &t::uptime_seconds},
        json_field{"shutting_down", &t::shutting_down},
        json_field{"set", &t::set},
        json_field{"members", &t::members},
        json_field{"data_centres", &t::data_centres},
        json_field{"targets", &t::targets},
        json_field{"buckets", &t::buckets},
        json_field{"flows", &t::flows},
        json_field{"replication", &t::replication},
        json_field{"control", &t::control},
        json_field{"dropped_packets", &t::dropped_packets}};
};

template <>
struct document_fields<audit_line>
{
    using t = audit_line;
    static constexpr std::tuple fields{
        json_field{"sequence", &t::sequence},
        json_field{"at", &t::at},
        json_field{"event", &t::event},
        json_field{"name", &t::name},
        json_field{"change", &t::change},
        json_field{"text", &t::text},
        json_field{"version", &t::version},
        json_field{"cause", &t::cause},
        json_field{"published_by", &t::published_by}};
};

template <>
struct document_fields<audit_document>
{
    using t = audit_document;
    static constexpr std::tuple fields{json_field{"daemon", &t::daemon},
                                       json_field{"dropped", &t::dropped},
                                       json_field{"entries", &t::entries}};
};

template <>
struct document_fields<explained_candidate>
{
    using t = explained_candidate;
    static constexpr std::tuple fields{
        json_field{"target", &t::target}, json_field{"weight", &t::weight},
        json_field{"held", &t::held}, json_field{"limit", &t::limit},
        json_field{"reason", &t::reason}};
};

template <>
struct document_fields<explain_document>
{
    using t = explain_document;
    static constexpr std::tuple fields{
        json_field{"daemon", &t::daemon},
        json_field{"caller", &t::caller},
        json_field{"public", &t::public_endpoint},
        json_field{"protocol", &t::transport},
        json_field{"in_effect", &t::in_effect},
        json_field{"bucket", &t::bucket},
        json_field{"home", &t::home},
        json_field{"owner", &t::owner},
        json_field{"standby", &t::standby},
        json_field{"holder", &t::holder},
        json_field{"reference", &t::reference},
        json_field{"service", &t::service},
        json_field{"action", &t::action},
        json_field{"source", &t::source},
        json_field{"target", &t::target},
        json_field{"reason", &t::reason},
        json_field{"candidates", &t::candidates}};
};

} // namespace catkinkeel::operators_internal
