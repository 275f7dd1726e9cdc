#include "catkinkeel/operators/documents.hpp"

#include <charconv>

namespace catkinkeel
{

namespace
{

/// True if `text` is empty, which keeps `number`, or a whole number that fits.
template <class Number>
bool read_number(std::string_view text, Number& number)
{
    if (text.empty())
    {
        return true;
    }
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && stop == end;
}

} // namespace

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

outcome<audit_query> parse_audit_query(std::string_view after,
                                       std::string_view limit)
{
    audit_query query;
    if (!read_number(after, query.after))
    {
        return failure{failure_kind::invalid_input,
                       "after: is not a sequence number"};
    }
    if (!read_number(limit, query.limit) || query.limit == 0)
    {
        return failure{failure_kind::invalid_input,
                       "limit: must be from 1 to 4294967295"};
    }
    return query;
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
