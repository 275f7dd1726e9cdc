#include "catkinkeel/operators/documents.hpp"

namespace catkinkeel
{

std::string_view release()
{
    return CATKINKEEL_VERSION;
}

audit_line make_audit_line(const audit_entry& entry)
{
    const event_definition* definition = find_event(entry.event.number);
    return {.sequence = entry.sequence,
            .at = entry.event.at,
            .event = static_cast<std::uint16_t>(entry.event.number),
            .name = std::string(definition != nullptr ? definition->name : ""),
            .change = std::string(to_string(definition != nullptr
                                                ? definition->change
                                                : change_kind::none)),
            .text = render_text(entry.event),
            .version = entry.origin.version,
            .cause = entry.origin.cause,
            .published_by = entry.origin.published_by};
}

outcome<flow_key> parse_flow(std::string_view caller,
                             std::string_view public_endpoint,
                             std::string_view transport)
{
    const auto from = parse_endpoint(caller);
    if (!from)
    {
        return failure{from.error().kind, "caller: " + from.error().message};
    }
    const auto to = parse_endpoint(public_endpoint);
    if (!to)
    {
        return failure{to.error().kind, "public: " + to.error().message};
    }
    const auto over = parse_protocol(transport);
    if (!over)
    {
        return failure{over.error().kind, "protocol: " + over.error().message};
    }
    return flow_key{from.value(), to.value(), over.value()};
}

std::string explain_request(const flow_key& key)
{
    return std::string(explain_path) + "?caller=" + to_string(key.caller) +
           "&public=" + to_string(key.service_side) +
           "&protocol=" + to_string(key.transport);
}

std::string audit_request(const audit_query& query)
{
    return std::string(audit_path) + "?after=" + std::to_string(query.after) +
           "&limit=" + std::to_string(query.limit);
}

} // namespace catkinkeel
