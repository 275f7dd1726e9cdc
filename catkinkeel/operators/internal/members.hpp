#pragma once

// Tables that map the JSON names of each document to its members.

#include "catkinkeel/operators/documents.hpp"

#include <string_view>
#include <tuple>

namespace catkinkeel::operators_internal
{

template <class Owner, class Value>
struct json_member
{
    std::string_view name;
    Value Owner::*pointer;
};

template <class Owner, class Value>
json_member(const char*, Value Owner::*) -> json_member<Owner, Value>;

/// Specialized for each document type; `rows` lists the members of `T`.
template <class T>
struct document_members;

template <class T>
concept has_members = requires
{
    document_members<T>::rows;
};

/// Value of the member "kind" of a document.
template <class Document>
constexpr std::string_view document_kind;
template <>
inline constexpr std::string_view document_kind<status_document> = "status";
template <>
inline constexpr std::string_view document_kind<audit_document> = "audit";
template <>
inline constexpr std::string_view document_kind<explain_document> = "explain";

template <>
struct document_members<daemon_identity>
{
    using t = daemon_identity;
    static constexpr std::tuple rows{
        json_member{"vm", &t::vm}, json_member{"name", &t::name},
        json_member{"data_centre", &t::data_centre},
        json_member{"release", &t::release}, json_member{"at", &t::at}};
};

template <>
struct document_members<refused_set>
{
    using t = refused_set;
    static constexpr std::tuple rows{json_member{"version", &t::version},
                                     json_member{"at", &t::at},
                                     json_member{"errors", &t::errors}};
};

template <>
struct document_members<set_status>
{
    using t = set_status;
    static constexpr std::tuple rows{
        json_member{"in_effect", &t::in_effect},
        json_member{"since", &t::since},
        json_member{"published_by", &t::published_by},
        json_member{"last_refused", &t::last_refused}};
};

template <>
struct document_members<member_status>
{
    using t = member_status;
    static constexpr std::tuple rows{
        json_member{"id", &t::id},
        json_member{"data_centre", &t::data_centre},
        json_member{"control", &t::control},
        json_member{"incarnation", &t::incarnation},
        json_member{"state", &t::state},
        json_member{"listed", &t::listed},
        json_member{"in_effect", &t::in_effect}};
};

template <>
struct document_members<data_centre_status>
{
    using t = data_centre_status;
    static constexpr std::tuple rows{
        json_member{"id", &t::id}, json_member{"name", &t::name},
        json_member{"wish", &t::wish}, json_member{"live_vms", &t::live_vms},
        json_member{"buckets", &t::buckets}};
};

template <>
struct document_members<target_view>
{
    using t = target_view;
    static constexpr std::tuple rows{
        json_member{"id", &t::id},
        json_member{"service", &t::service},
        json_member{"data_centre", &t::data_centre},
        json_member{"address", &t::address},
        json_member{"wish", &t::wish},
        json_member{"reason", &t::reason},
        json_member{"limit", &t::limit},
        json_member{"held", &t::held},
        json_member{"connections", &t::connections},
        json_member{"busy_slots", &t::busy_slots},
        json_member{"report_age_ms", &t::report_age_ms},
        json_member{"steward", &t::steward}};
};

template <>
struct document_members<bucket_status>
{
    using t = bucket_status;
    static constexpr std::tuple rows{json_member{"held", &t::held},
                                     json_member{"owned", &t::owned},
                                     json_member{"awaited", &t::awaited},
                                     json_member{"standby", &t::standby}};
};

template <>
struct document_members<flow_status>
{
    using t = flow_status;
    static constexpr std::tuple rows{
        json_member{"tracked", &t::tracked},
        json_member{"capacity", &t::capacity},
        json_member{"opened", &t::opened},
        json_member{"refused", &t::refused},
        json_member{"exceptions", &t::exceptions},
        json_member{"mixed_references", &t::mixed_references}};
};

template <>
struct document_members<replication_status>
{
    using t = replication_status;
    static constexpr std::tuple rows{
        json_member{"backlog", &t::backlog},
        json_member{"oldest_ms", &t::oldest_ms},
        json_member{"held_for_others", &t::held_for_others}};
};

template <>
struct document_members<control_status>
{
    using t = control_status;
    static constexpr std::tuple rows{
        json_member{"budget_per_second", &t::budget_per_second},
        json_member{"sent_last_minute", &t::sent_last_minute},
        json_member{"received_last_minute", &t::received_last_minute}};
};

template <>
struct document_members<reason_count>
{
    using t = reason_count;
    static constexpr std::tuple rows{json_member{"reason", &t::reason},
                                     json_member{"count", &t::count}};
};

template <>
struct document_members<status_document>
{
    using t = status_document;
    static constexpr std::tuple rows{
        json_member{"daemon", &t::daemon},
        json_member{"uptime_seconds", &t::uptime_seconds},
        json_member{"shutting_down", &t::shutting_down},
        json_member{"set", &t::set},
        json_member{"members", &t::members},
        json_member{"data_centres", &t::data_centres},
        json_member{"targets", &t::targets},
        json_member{"buckets", &t::buckets},
        json_member{"flows", &t::flows},
        json_member{"replication", &t::replication},
        json_member{"control", &t::control},
        json_member{"dropped_packets", &t::dropped_packets}};
};

template <>
struct document_members<audit_line>
{
    using t = audit_line;
    static constexpr std::tuple rows{
        json_member{"sequence", &t::sequence},
        json_member{"at", &t::at},
        json_member{"event", &t::event},
        json_member{"name", &t::name},
        json_member{"change", &t::change},
        json_member{"text", &t::text},
        json_member{"version", &t::version},
        json_member{"cause", &t::cause},
        json_member{"published_by", &t::published_by}};
};

template <>
struct document_members<audit_document>
{
    using t = audit_document;
    static constexpr std::tuple rows{json_member{"daemon", &t::daemon},
                                     json_member{"dropped", &t::dropped},
                                     json_member{"entries", &t::entries}};
};

template <>
struct document_members<explained_candidate>
{
    using t = explained_candidate;
    static constexpr std::tuple rows{
        json_member{"target", &t::target}, json_member{"weight", &t::weight},
        json_member{"held", &t::held}, json_member{"limit", &t::limit},
        json_member{"reason", &t::reason}};
};

template <>
struct document_members<explain_document>
{
    using t = explain_document;
    static constexpr std::tuple rows{json_member{"daemon", &t::daemon},
                                     json_member{"caller", &t::caller},
                                     json_member{"public", &t::public_endpoint},
                                     json_member{"protocol", &t::transport},
                                     json_member{"in_effect", &t::in_effect},
                                     json_member{"bucket", &t::bucket},
                                     json_member{"home", &t::home},
                                     json_member{"owner", &t::owner},
                                     json_member{"standby", &t::standby},
                                     json_member{"holder", &t::holder},
                                     json_member{"reference", &t::reference},
                                     json_member{"service", &t::service},
                                     json_member{"action", &t::action},
                                     json_member{"source", &t::source},
                                     json_member{"target", &t::target},
                                     json_member{"reason", &t::reason},
                                     json_member{"candidates", &t::candidates}};
};

} // namespace catkinkeel::operators_internal
