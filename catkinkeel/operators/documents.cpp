#include "catkinkeel/operators/documents.hpp"

#include <charconv>

namespace catkinkeel
{

namespace
{

/// Parses `text`, all of which must be a decimal number. An empty `text` leaves
/// `number` unchanged. Returns false if `text` is not a number or does not fit.
template <class Number>
bool parse_number(std::string_view text, Number& number)
{
    if (text.empty())
    {
        return true;
    }
    const char* const end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && parsed_end == end;
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

outcome<flow_key> parse_flow_key(std::string_view caller,
                                 std::string_view public_endpoint,
                                 std::string_view transport)
{
    const auto parsed_caller = parse_endpoint(caller);
    if (!parsed_caller)
    {
        return failure{parsed_caller.error().kind,
                       "caller: " + parsed_caller.error().message};
    }
    const auto parsed_public = parse_endpoint(public_endpoint);
    if (!parsed_public)
    {
        return failure{parsed_public.error().kind,
                       "public: " + parsed_public.error().message};
    }
    const auto parsed_transport = parse_protocol(transport);
    if (!parsed_transport)
    {
        return failure{parsed_transport.error().kind,
                       "protocol: " + parsed_transport.error().message};
    }
    return flow_key{parsed_caller.value(), parsed_public.value(),
                    parsed_transport.value()};
}

outcome<audit_query> parse_audit_query(std::string_view after,
                                       std::string_view limit)
{
    audit_query query;
    if (!parse_number(after, query.after))
    {
        return failure{failure_kind::invalid_input,
                       "after: is not a sequence number"};
    }
    if (!parse_number(limit, query.limit) || query.limit == 0)
    {
        return failure{failure_kind::invalid_input,
                       "limit: must be from 1 to 4294967295"};
    }
    return query;
}

std::string explain_request_path(const flow_key& key)
{
    return std::string(explain_path) + "?caller=" + to_string(key.caller) +
           "&public=" + to_string(key.service_side) +
           "&protocol=" + to_string(key.transport);
}

std::string audit_request_path(const audit_query& query)
{
    return std::string(audit_path) + "?after=" + std::to_string(query.after) +
           "&limit=" + std::to_string(query.limit);
}

} // namespace catkinkeel
