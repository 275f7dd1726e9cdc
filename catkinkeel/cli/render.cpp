#include "catkinkeel/cli/internal/render.hpp"

#include "catkinkeel/base/text_table.hpp"
#include "catkinkeel/operators/enum_names.hpp"

namespace catkinkeel::cli_internal
{

namespace
{

template <class Number>
std::string to_text(Number value)
{
    return std::to_string(value);
}

template <class Tag, class Rep>
std::string to_text(identifier<Tag, Rep> id)
{
    return std::to_string(id.value);
}

std::string to_text(byte_count bytes)
{
    return std::to_string(bytes.value);
}

std::string yes_no(bool value)
{
    return value ? "yes" : "no";
}

std::string heading(const daemon_identity& daemon)
{
    return "VM " + to_text(daemon.vm) + " " + daemon.name + ", data centre " +
           to_text(daemon.data_centre) + ", release " + daemon.release +
           ", at " + to_string(daemon.at) + "\n";
}

std::string format_set(const set_status& set)
{
    std::string lines = set.in_effect == set_version{}
                            ? "set: none in effect\n"
                            : "set: " + to_text(set.in_effect) +
                                  " in effect since " + to_string(set.since) +
                                  (set.published_by.empty()
                                       ? ""
                                       : ", published by " + set.published_by) +
                                  "\n";
    if (set.last_refused)
    {
        lines += "refused: set " + to_text(set.last_refused->version) + " at " +
                 to_string(set.last_refused->at) + "\n";
        for (const std::string& error : set.last_refused->errors)
        {
            lines += "    " + error + "\n";
        }
    }
    return lines;
}

std::string format_counters(const status_document& document)
{
    const auto& [held, owned, awaited, standby] = document.buckets;
    const flow_status& flows = document.flows;
    const replication_status& replication = document.replication;
    const control_status& control = document.control;
    return "buckets: " + to_text(held) + " held, " + to_text(owned) +
           " owned, " + to_text(awaited) + " awaited, " + to_text(standby) +
           " as standby\n" + "flows: " + to_text(flows.tracked) + " of " +
           to_text(flows.capacity) + ", " + to_text(flows.opened) +
           " opened, " + to_text(flows.refused) + " refused, " +
           to_text(flows.exceptions) + " exceptions, " +
           to_text(flows.mixed_references) + " mixed references\n" +
           "replication: " + to_text(replication.backlog) +
           " waiting, oldest " + to_text(replication.oldest_ms) + " ms, " +
           to_text(replication.held_for_others) + " held for others\n" +
           "control: " + to_text(control.sent_last_minute) + " B sent and " +
           to_text(control.received_last_minute) +
           " B received in the last minute, budget " +
           to_text(control.budget_per_second) + " B/s\n";
}

text_table member_table(const status_document& document)
{
    text_table table{.header = {"vm", "data centre", "state", "listed",
                                "incarnation", "set", "control"},
                     .rows = {}};
    for (const member_status& row : document.members)
    {
        table.rows.push_back({to_text(row.id), to_text(row.data_centre),
                              std::string(name_of(row.state)),
                              yes_no(row.listed), to_text(row.incarnation),
                              to_text(row.in_effect), to_string(row.control)});
    }
    return table;
}

text_table data_centre_table(const status_document& document)
{
    text_table table{
        .header = {"data centre", "name", "wish", "live VMs", "buckets"},
        .rows = {}};
    for (const data_centre_status& row : document.data_centres)
    {
        table.rows.push_back({to_text(row.id), row.name,
                              std::string(name_of(row.wish)),
                              to_text(row.live_vms), to_text(row.buckets)});
    }
    return table;
}

text_table target_table(const status_document& document)
{
    text_table table{.header = {"target", "service", "data centre", "address",
                                "wish", "state", "flows", "limit",
                                "connections", "busy slots", "report age",
                                "steward"},
                     .rows = {}};
    for (const target_view& row : document.targets)
    {
        table.rows.push_back(
            {to_text(row.id), to_text(row.service), to_text(row.data_centre),
             to_string(row.address), std::string(name_of(row.wish)),
             std::string(name_of(row.reason)), to_text(row.held),
             to_text(row.limit), to_text(row.connections),
             to_text(row.busy_slots), to_text(row.report_age_ms) + " ms",
             row.steward == vm_id{} ? "none" : to_text(row.steward)});
    }
    return table;
}

text_table dropped_table(const status_document& document)
{
    text_table table{.header = {"dropped", "packets"}, .rows = {}};
    for (const reason_count& row : document.dropped_packets)
    {
        table.rows.push_back({row.reason, to_text(row.count)});
    }
    return table;
}

} // namespace

std::string render_status(const status_document& document, bool show_tables)
{
    std::string lines =
        heading(document.daemon) + "up: " + to_text(document.uptime_seconds) +
        " s" + (document.shutting_down ? ", shutting down" : "") + "\n" +
        format_set(document.set) + format_counters(document);
    using table_builder = text_table (*)(const status_document&);
    for (const table_builder build_table :
         {member_table, data_centre_table, target_table, dropped_table})
    {
        const text_table table = build_table(document);
        if (show_tables && !table.rows.empty())
        {
            lines += "\n" + to_plain_text(table);
        }
    }
    return lines;
}

std::string render_audit(const audit_document& document)
{
    text_table table{.header = {"number", "time", "event", "set", "cause",
                                "published by", "text"},
                     .rows = {}};
    for (const audit_line& row : document.entries)
    {
        table.rows.push_back({to_text(row.sequence), to_string(row.at),
                              row.name, to_text(row.version), row.cause,
                              row.published_by, row.text});
    }
    std::string lines = heading(document.daemon);
    if (document.dropped > 0)
    {
        lines += to_text(document.dropped) + " older entries were dropped\n";
    }
    return lines + (table.rows.empty() ? "no entries\n" : to_plain_text(table));
}

std::string render_explain(const explain_document& document)
{
    const auto or_none = [](const auto& id)
    {
        return id ? to_text(*id) : std::string("none");
    };
    std::string lines =
        heading(document.daemon) + "flow: " + to_string(document.caller) +
        " to " + to_string(document.public_endpoint) + " over " +
        to_string(document.transport) + ", set " + to_text(document.in_effect) +
        "\n" + "bucket: " + to_text(document.bucket) + ", home data centre " +
        to_text(document.home) + ", owner VM " + to_text(document.owner) +
        ", standby VM " + to_text(document.standby) +
        ", held here: " + yes_no(document.holder) + "\n" +
        "reference: " + or_none(document.reference) +
        ", service: " + or_none(document.service) + "\n" +
        "action: " + std::string(name_of(document.action)) +
        ", target: " + or_none(document.target) +
        ", from: " + std::string(name_of(document.source)) + "\n";
    if (!document.reason.empty())
    {
        lines += "reason: " + document.reason + "\n";
    }
    text_table table{
        .header = {"candidate", "weight", "flows", "limit", "state"},
        .rows = {}};
    for (const explained_candidate& row : document.candidates)
    {
        table.rows.push_back({to_text(row.target), to_text(row.weight),
                              to_text(row.held), to_text(row.limit),
                              std::string(name_of(row.reason))});
    }
    return lines + (table.rows.empty() ? "" : "\n" + to_plain_text(table));
}

} // namespace catkinkeel::cli_internal
