#pragma once

// Tables of the members of each document: JSON name and member pointer.

#include "catkinkeel/operators/documents.hpp"

#include <string_view>
#include <tuple>

namespace catkinkeel::operators_internal
{

template <class Owner, class Value>
struct member_row
{
    std::string_view name;
    Value Owner::*pointer;
};

template <class Owner, class Value>
member_row(const char*, Value Owner::*) -> member_row<Owner, Value>;

/// `rows` lists the members of `T`.
template <class T>
struct members_of;

template <class T>
concept has_members = requires
{
    members_of<T>::rows;
};

/// Value of the member "kind" of a document.
template <class Document>
constexpr std::string_view kind_of;
template <>
inline constexpr std::string_view kind_of<status_document> = "status";
template <>
inline constexpr std::string_view kind_of<audit_document> = "audit";
template <>
inline constexpr std::string_view kind_of<explain_document> = "explain";

template <>
struct members_of<daemon_identity>
{
    using t = daemon_identity;
    static constexpr std::tuple rows{
        member_row{"vm", &t::vm}, member_row{"name", &t::name},
        member_row{"data_centre", &t::data_centre},
        member_row{"release", &t::release}, member_row{"at", &t::at}};
};

template <>
struct members_of<refused_set>
{
    using t = refused_set;
    static constexpr std::tuple rows{member_row{"version", &t::version},
                                     member_row{"at", &t::at},
                                     member_row{"errors", &t::errors}};
};

template <>
struct members_of<set_status>
{
    using t = set_status;
    static constexpr std::tuple rows{
        member_row{"in_effect", &t::in_effect}, member_row{"since", &t::since},
        member_row{"published_by", &t::published_by},
        member_row{"last_refused", &t::last_refused}};
};

template <>
struct members_of<member_status>
{
    using t = member_status;
    static constexpr std::tuple rows{member_row{"id", &t::id},
                                     member_row{"data_centre", &t::data_centre},
                                     member_row{"control", &t::control},
                                     member_row{"incarnation", &t::incarnation},
                                     member_row{"state", &t::state},
                                     member_row{"listed", &t::listed},
                                     member_row{"in_effect", &t::in_effect}};
};

template <>
struct members_of<data_centre_status>
{
    using t = data_centre_status;
    static constexpr std::tuple rows{
        member_row{"id", &t::id}, member_row{"name", &t::name},
        member_row{"wish", &t::wish}, member_row{"live_vms", &t::live_vms},
        member_row{"buckets", &t::buckets}};
};

template <>
struct members_of<target_view>
{
    using t = target_view;
    static constexpr std::tuple rows{
        member_row{"id", &t::id},
        member_row{"service", &t::service},
        member_row{"data_centre", &t::data_centre},
        member_row{"address", &t::address},
        member_row{"wish", &t::wish},
        member_row{"reason", &t::reason},
        member_row{"limit", &t::limit},
        member_row{"held", &t::held},
        member_row{"connections", &t::connections},
        member_row{"busy_slots", &t::busy_slots},
        member_row{"report_age_ms", &t::report_age_ms},
        member_row{"steward", &t::steward}};
};

template <>
struct members_of<bucket_status>
{
    using t = bucket_status;
    static constexpr std::tuple rows{
        member_row{"held", &t::held}, member_row{"owned", &t::owned},
        member_row{"awaited", &t::awaited}, member_row{"standby", &t::standby}};
};

template <>
struct members_of<flow_status>
{
    using t = flow_status;
    static constexpr std::tuple rows{
        member_row{"tracked", &t::tracked},
        member_row{"capacity", &t::capacity},
        member_row{"opened", &t::opened},
        member_row{"refused", &t::refused},
        member_row{"exceptions", &t::exceptions},
        member_row{"mixed_references", &t::mixed_references}};
};

template <>
struct members_of<replication_status>
{
    using t = replication_status;
    static constexpr std::tuple rows{
        member_row{"backlog", &t::backlog},
        member_row{"oldest_ms", &t::oldest_ms},
        member_row{"held_for_others", &t::held_for_others}};
};

template <>
struct members_of<control_status>
{
    using t = control_status;
    static constexpr std::tuple rows{
        member_row{"budget_per_second", &t::budget_per_second},
        member_row{"sent_last_minute", &t::sent_last_minute},
        member_row{"received_last_minute", &t::received_last_minute}};
};

template <>
struct members_of<reason_count>
{
    using t = reason_count;
    static constexpr std::tuple rows{member_row{"reason", &t::reason},
                                     member_row{"count", &t::count}};
};

template <>
struct members_of<status_document>
{
    using t = status_document;
    static constexpr std::tuple rows{
        member_row{"daemon", &t::daemon},
        member_row{"uptime_seconds", &t::uptime_seconds},
        member_row{"shutting_down", &t::shutting_down},
        member_row{"set", &t::set},
        member_row{"members", &t::members},
        member_row{"data_centres", &t::data_centres},
        member_row{"targets", &t::targets},
        member_row{"buckets", &t::buckets},
        member_row{"flows", &t::flows},
        member_row{"replication", &t::replication},
        member_row{"control", &t::control},
        member_row{"dropped_packets", &t::dropped_packets}};
};

template <>
struct members_of<audit_line>
{
    using t = audit_line;
    static constexpr std::tuple rows{
        member_row{"sequence", &t::sequence},
        member_row{"at", &t::at},
        member_row{"event", &t::event},
        member_row{"name", &t::name},
        member_row{"change", &t::change},
        member_row{"text", &t::text},
        member_row{"version", &t::version},
        member_row{"cause", &t::cause},
        member_row{"published_by", &t::published_by}};
};

template <>
struct members_of<audit_document>
{
    using t = audit_document;
    static constexpr std::tuple rows{member_row{"daemon", &t::daemon},
                                     member_row{"dropped", &t::dropped},
                                     member_row{"entries", &t::entries}};
};

template <>
struct members_of<explained_candidate>
{
    using t = explained_candidate;
    static constexpr std::tuple rows{
        member_row{"target", &t::target}, member_row{"weight", &t::weight},
        member_row{"held", &t::held}, member_row{"limit", &t::limit},
        member_row{"reason", &t::reason}};
};

template <>
struct members_of<explain_document>
{
    using t = explain_document;
    static constexpr std::tuple rows{member_row{"daemon", &t::daemon},
                                     member_row{"caller", &t::caller},
                                     member_row{"public", &t::public_endpoint},
                                     member_row{"protocol", &t::transport},
                                     member_row{"in_effect", &t::in_effect},
                                     member_row{"bucket", &t::bucket},
                                     member_row{"home", &t::home},
                                     member_row{"owner", &t::owner},
                                     member_row{"standby", &t::standby},
                                     member_row{"holder", &t::holder},
                                     member_row{"reference", &t::reference},
                                     member_row{"service", &t::service},
                                     member_row{"action", &t::action},
                                     member_row{"source", &t::source},
                                     member_row{"target", &t::target},
                                     member_row{"reason", &t::reason},
                                     member_row{"candidates", &t::candidates}};
};

} // namespace catkinkeel::operators_internal
