// Commands that ask daemons: status, audit, explain.

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

/// The option --daemon, which several commands have.
class daemon_option
{
public:
    explicit daemon_option(TCLAP::CmdLine& line)
        : option_("d", "daemon",
                  "Operators' HTTP endpoint of a daemon; " +
                      std::string(default_daemon) +
                      " if not given. May be given several times.",
                  false, "address:port", line)
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

/// What is common to all daemons' answers of one kind.
template <class Document>
struct question
{
    /// Path and query.
    std::string request;
    /// Name of the answer in JSON output.
    std::string_view name;
    std::function<std::string(const Document&)> render;
    /// Sentences about what an operator should act on.
    std::function<std::vector<std::string>(const std::vector<Document>&)>
        findings;
};

template <class Document>
outcome<Document> ask_one(const daemon_client& client, const endpoint& daemon,
                          const std::string& request)
{
    const outcome<std::string> body = client.get(daemon, request);
    if (!body)
    {
        return body.error();
    }
    outcome<Document> document = from_json<Document>(body.value());
    if (!document)
    {
        return failure{document.error().kind,
                       "answer of " + to_string(daemon) +
                           " is not understood: " + document.error().message};
    }
    return document;
}

/// Asks every daemon; one that fails does not hide the answers of others.
template <class Document>
command_result ask(const question<Document>& asked,
                   const std::vector<endpoint>& daemons,
                   const daemon_client& client, bool as_json)
{
    command_result result;
    const auto raise = [&result](exit_code code)
    {
        result.code = std::max(result.code, code);
    };
    std::vector<Document> documents;
    json list = json::array();
    for (const endpoint& daemon : daemons)
    {
        outcome<Document> document =
            ask_one<Document>(client, daemon, asked.request);
        json entry{{"daemon", to_string(daemon)}};
        if (document)
        {
            entry[std::string(asked.name)] =
                json::parse(to_json(document.value()));
            result.out += (result.out.empty() ? "" : "\n") +
                          asked.render(document.value());
            documents.push_back(std::move(document).value());
        }
        else
        {
            const command_result failure = failed(document.error());
            raise(failure.code);
            result.error += failure.error;
            entry["error"] = document.error().message;
        }
        list.push_back(std::move(entry));
    }
    const std::vector<std::string> findings =
        asked.findings ? asked.findings(documents) : std::vector<std::string>{};
    for (const std::string& finding : findings)
    {
        raise(exit_code::findings);
        result.out += "finding: " + finding + "\n";
    }
    if (as_json)
    {
        result.out =
            print({{"daemons", std::move(list)}, {"findings", findings}});
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
    const auto [least, most] =
        std::ranges::minmax_element(documents, {}, version);
    if (least != documents.end() && version(*least) != version(*most))
    {
        findings.push_back("sets " + std::to_string(version(*least).value) +
                           " to " + std::to_string(version(*most).value) +
                           " are in effect at different daemons");
    }
    return findings;
}

} // namespace

command_result run_status(const command_row& self, const arguments& given,
                          const cli_services& services)
{
    command_line line(self);
    const daemon_option daemons(line.options());
    TCLAP::SwitchArg summary("s", "summary",
                             "Leave out members, data centres and targets.",
                             line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const auto endpoints = daemons.endpoints();
    if (!endpoints)
    {
        return line.usage_error(endpoints.error().message);
    }
    const bool tables = !summary.getValue();
    return ask<status_document>({std::string(status_path), "status",
                                 [tables](const status_document& document)
                                 { return render_status(document, tables); },
                                 status_findings},
                                endpoints.value(), services.daemons,
                                line.json());
}

command_result run_audit(const command_row& self, const arguments& given,
                         const cli_services& services)
{
    command_line line(self);
    const daemon_option daemons(line.options());
    // Signed, since reading "-1" into an unsigned number would wrap.
    TCLAP::ValueArg<std::int64_t> after("a", "after",
                                        "Only entries above this number.",
                                        false, 0, "number", line.options());
    TCLAP::ValueArg<std::int64_t> limit(
        "l", "limit", "The newest entries, at most this many.", false, 1000,
        "count", line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const auto endpoints = daemons.endpoints();
    if (!endpoints)
    {
        return line.usage_error(endpoints.error().message);
    }
    if (after.getValue() < 0 || limit.getValue() < 1 ||
        limit.getValue() > std::numeric_limits<std::uint32_t>::max())
    {
        return line.usage_error("--after or --limit is out of range");
    }
    const audit_query query{static_cast<std::uint64_t>(after.getValue()),
                            static_cast<std::uint32_t>(limit.getValue())};
    return ask<audit_document>(
        {audit_request_path(query), "audit", render_audit, {}},
        endpoints.value(), services.daemons, line.json());
}

command_result run_explain(const command_row& self, const arguments& given,
                           const cli_services& services)
{
    command_line line(self);
    const daemon_option daemons(line.options());
    TCLAP::UnlabeledValueArg<std::string> caller(
        "caller", "The caller's address:port.", true, "", "CALLER",
        line.options());
    TCLAP::UnlabeledValueArg<std::string> reached(
        "public", "The public address:port.", true, "", "PUBLIC",
        line.options());
    TCLAP::UnlabeledValueArg<std::string> transport(
        "protocol", "tcp or udp", true, "", "PROTOCOL", line.options());
    if (auto result = line.parse(given))
    {
        return *result;
    }
    const auto endpoints = daemons.endpoints();
    const auto key = parse_flow_key(caller.getValue(), reached.getValue(),
                                    transport.getValue());
    if (!endpoints || !key)
    {
        return line.usage_error(endpoints ? key.error().message
                                          : endpoints.error().message);
    }
    return ask<explain_document>(
        {explain_request_path(key.value()), "explain", render_explain, {}},
        endpoints.value(), services.daemons, line.json());
}

} // namespace catkinkeel::cli_internal
