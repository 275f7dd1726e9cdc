// Commands that query daemons: status, audit and explain.

#include "catkinkeel/cli/internal/command.hpp"
#include "catkinkeel/cli/internal/render.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>

namespace catkinkeel::cli_internal
{

namespace
{

using json = nlohmann::ordered_json;

constexpr std::string_view default_daemon = "127.0.0.1:9080";

/// The option --daemon, which is common to these commands.
class daemon_option
{
public:
    explicit daemon_option(TCLAP::CmdLine& parser)
        : option_("d", "daemon",
                  "Operators' HTTP endpoint of a daemon; " +
                      std::string(default_daemon) +
                      " if not given. May be given several times.",
                  false, "address:port", parser)
    {
    }

    [[nodiscard]] outcome<std::vector<endpoint>> endpoints() const
    {
        std::vector<endpoint> all;
        for (const std::string& text : option_.getValue())
        {
            const outcome<endpoint> parsed = parse_endpoint(text);
            if (!parsed)
            {
                return failure{parsed.error().kind,
                               "--daemon: " + parsed.error().message};
            }
            all.push_back(parsed.value());
        }
        if (all.empty())
        {
            all.push_back(parse_endpoint(default_daemon).value());
        }
        return all;
    }

private:
    TCLAP::MultiArg<std::string> option_;
};

/// A request for one kind of document and the handling of the responses.
template <class Document>
struct daemon_request
{
    /// Path and query of the HTTP request.
    std::string path;
    /// Key of the document in JSON output.
    std::string_view json_key;
    std::function<std::string(const Document&)> render;
    /// Returns sentences on conditions that an operator should act on. May be
    /// empty.
    std::function<std::vector<std::string>(const std::vector<Document>&)>
        collect_findings;
};

template <class Document>
outcome<Document> fetch_document(const daemon_client& client,
                                 const endpoint& daemon,
                                 const std::string& path)
{
    const outcome<std::string> body = client.get(daemon, path);
    if (!body)
    {
        return body.error();
    }
    outcome<Document> document = from_json<Document>(body.value());
    if (!document)
    {
        return failure{document.error().kind,
                       "response of " + to_string(daemon) +
                           " can't be decoded: " + document.error().message};
    }
    return document;
}

/// Queries every daemon and prints the documents of those that respond. The
/// exit code is the highest of all results.
template <class Document>
command_result query_daemons(const daemon_request<Document>& request,
                             const std::vector<endpoint>& daemons,
                             const daemon_client& client, bool as_json)
{
    command_result result;
    const auto raise_exit_code = [&result](exit_code code)
    {
        result.code = std::max(result.code, code);
    };
    std::vector<Document> documents;
    json list = json::array();
    for (const endpoint& daemon : daemons)
    {
        outcome<Document> document =
            fetch_document<Document>(client, daemon, request.path);
        json entry{{"daemon", to_string(daemon)}};
        if (document)
        {
            entry[std::string(request.json_key)] =
                json::parse(to_json(document.value()));
            result.out += (result.out.empty() ? "" : "\n") +
                          request.render(document.value());
            documents.push_back(std::move(document).value());
        }
        else
        {
            const command_result failure = error_result(document.error());
            raise_exit_code(failure.code);
            result.error += failure.error;
            entry["error"] = document.error().message;
        }
        list.push_back(std::move(entry));
    }
    const std::vector<std::string> findings =
        request.collect_findings ? request.collect_findings(documents)
                                 : std::vector<std::string>{};
    for (const std::string& finding : findings)
    {
        raise_exit_code(exit_code::findings);
        result.out += "finding: " + finding + "\n";
    }
    if (as_json)
    {
        result.out =
            format_json({{"daemons", std::move(list)}, {"findings", findings}});
    }
    return result;
}

std::vector<std::string>
status_findings(const std::vector<status_document>& documents)
{
    std::vector<std::string> findings;
    for (const status_document& document : documents)
    {
        const set_status& set = document.set;
        if (set.last_refused && set.last_refused->version > set.in_effect)
        {
            findings.push_back(
                "VM " + std::to_string(document.daemon.vm.value) +
                " refused set " +
                std::to_string(set.last_refused->version.value) +
                " and has set " + std::to_string(set.in_effect.value) +
                " in effect");
        }
    }
    const auto version = [](const status_document& document)
    {
        return document.set.in_effect;
    };
    const auto [lowest, highest] =
        std::ranges::minmax_element(documents, {}, version);
    if (lowest != documents.end() && version(*lowest) != version(*highest))
    {
        findings.push_back("sets " + std::to_string(version(*lowest).value) +
                           " to " + std::to_string(version(*highest).value) +
                           " are in effect at different daemons");
    }
    return findings;
}

} // namespace

command_result run_status(const command_definition& definition,
                          const arguments& args, const cli_services& services)
{
    command_line_parser parser(definition);
    const daemon_option daemons(parser.options());
    TCLAP::SwitchArg summary("s", "summary",
                             "Omit the tables of members, data centres, "
                             "targets and dropped packets.",
                             parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const auto endpoints = daemons.endpoints();
    if (!endpoints)
    {
        return parser.usage_error(endpoints.error().message);
    }
    const bool show_tables = !summary.getValue();
    return query_daemons<status_document>(
        {std::string(status_path), "status",
         [show_tables](const status_document& document)
         { return render_status(document, show_tables); },
         status_findings},
        endpoints.value(), services.client, parser.json());
}

command_result run_audit(const command_definition& definition,
                         const arguments& args, const cli_services& services)
{
    command_line_parser parser(definition);
    const daemon_option daemons(parser.options());
    // Signed, because parsing "-1" as an unsigned number would wrap around.
    TCLAP::ValueArg<std::int64_t> after(
        "a", "after", "Only entries with a number above this.", false, 0,
        "number", parser.options());
    TCLAP::ValueArg<std::int64_t> limit(
        "l", "limit", "Maximum number of entries; the newest are shown.", false,
        1000, "count", parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const auto endpoints = daemons.endpoints();
    if (!endpoints)
    {
        return parser.usage_error(endpoints.error().message);
    }
    if (after.getValue() < 0 || limit.getValue() < 1 ||
        limit.getValue() > std::numeric_limits<std::uint32_t>::max())
    {
        return parser.usage_error("--after or --limit is out of range");
    }
    const audit_query query{static_cast<std::uint64_t>(after.getValue()),
                            static_cast<std::uint32_t>(limit.getValue())};
    return query_daemons<audit_document>(
        {audit_request_path(query), "audit", render_audit, {}},
        endpoints.value(), services.client, parser.json());
}

command_result run_explain(const command_definition& definition,
                           const arguments& args, const cli_services& services)
{
    command_line_parser parser(definition);
    const daemon_option daemons(parser.options());
    TCLAP::UnlabeledValueArg<std::string> caller(
        "caller", "The caller's address:port.", true, "", "CALLER",
        parser.options());
    TCLAP::UnlabeledValueArg<std::string> public_endpoint(
        "public", "The public address:port.", true, "", "PUBLIC",
        parser.options());
    TCLAP::UnlabeledValueArg<std::string> transport(
        "protocol", "tcp or udp", true, "", "PROTOCOL", parser.options());
    if (auto result = parser.parse(args))
    {
        return *result;
    }
    const auto endpoints = daemons.endpoints();
    const auto key = parse_flow_key(
        caller.getValue(), public_endpoint.getValue(), transport.getValue());
    if (!endpoints || !key)
    {
        return parser.usage_error(endpoints ? key.error().message
                                            : endpoints.error().message);
    }
    return query_daemons<explain_document>(
        {explain_request_path(key.value()), "explain", render_explain, {}},
        endpoints.value(), services.client, parser.json());
}

} // namespace catkinkeel::cli_internal
