#include "catkinkeel/base/random.hpp"
#include "catkinkeel/cli/cli.hpp"
#include "catkinkeel/event/catalogue.hpp"
#include "catkinkeel/operators/documents.hpp"
#include "catkinkeel/operators/metrics.hpp"
#include "catkinkeel/settings/settings.hpp"

#include <catch2/catch.hpp>
#include <civetweb.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <nlohmann/json.hpp>

using namespace catkinkeel;

namespace
{

const std::string sample_directory = CATKINKEEL_SOURCE_DIR "/samples/settings/";

std::string read_page(const std::string& name)
{
    return read_text_file(CATKINKEEL_SOURCE_DIR "/docs/" + name, {1 << 20})
        .value();
}

/// Returns responses from a table. Any other request fails with `unavailable`.
struct fake_daemon_client : daemon_client
{
    /// Response bodies, keyed by "address:port" followed by the path.
    std::map<std::string, std::string> responses;
    mutable std::vector<std::string> requests;

    [[nodiscard]] outcome<std::string>
    get(const endpoint& daemon, const std::string& path) const override
    {
        requests.push_back(to_string(daemon) + path);
        const auto found = responses.find(requests.back());
        if (found == responses.end())
        {
            return failure{failure_kind::unavailable,
                           to_string(daemon) + " does not respond"};
        }
        return found->second;
    }
};

/// Reports one finding for each document that contains "bad", and one change
/// between sets that differ.
struct fake_published_set_tools : published_set_tools
{
    [[nodiscard]] std::vector<set_finding>
    check(const std::vector<object_document>& documents) const override
    {
        std::vector<set_finding> findings;
        for (const object_document& document : documents)
        {
            if (document.text.find("bad") != std::string::npos)
            {
                findings.push_back({document.name, 3, "reference 5", "service",
                                    "reference_service_exists", "is dangling"});
            }
        }
        return findings;
    }
    [[nodiscard]] outcome<std::vector<set_change>>
    diff(const std::vector<object_document>& before,
         const std::vector<object_document>& after) const override
    {
        return before == after ? std::vector<set_change>{}
                               : std::vector<set_change>{
                                     {"changed", "target 11", "weight 1 -> 2"}};
    }
};

struct fixture
{
    fake_daemon_client client;
    fake_published_set_tools set_tools;

    [[nodiscard]] command_result
    run(const std::vector<std::string>& arguments) const
    {
        return run_cli(arguments, {client, set_tools});
    }
};

std::string status_json(std::uint32_t vm, std::uint64_t version)
{
    status_document document;
    document.daemon.vm = {vm};
    document.daemon.name = "zilina-a-1";
    document.set.in_effect = {version};
    document.members = {{.id = {2}, .state = liveness::suspect}};
    return to_json(document);
}

bool contains(const std::string& text, const std::string& substring)
{
    return text.find(substring) != std::string::npos;
}

/// HTTP server on 127.0.0.1 that responds according to the path.
class fake_http_server
{
public:
    fake_http_server()
    {
        mg_init_library(0);
        std::array<const char*, 5> options{"listening_ports", "127.0.0.1:0",
                                           "num_threads", "2", nullptr};
        context_ = mg_start(nullptr, nullptr, options.data());
        mg_set_request_handler(context_, "/", handle_request, nullptr);
        mg_server_port port{};
        mg_get_server_ports(context_, 1, &port);
        address_ = {{0x7f000001}, static_cast<std::uint16_t>(port.port)};
    }
    ~fake_http_server()
    {
        stop();
        mg_exit_library();
    }
    fake_http_server(const fake_http_server&) = delete;
    fake_http_server& operator=(const fake_http_server&) = delete;

    void stop()
    {
        if (context_ != nullptr)
        {
            mg_stop(context_);
            context_ = nullptr;
        }
    }
    [[nodiscard]] endpoint address() const
    {
        return address_;
    }

private:
    static int handle_request(mg_connection* connection, void* /*unused*/)
    {
        const mg_request_info* request = mg_get_request_info(connection);
        const std::string path = request->local_uri;
        const std::string query =
            request->query_string != nullptr ? request->query_string : "";
        if (path == "/cut")
        {
            mg_printf(connection, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                                  "Connection: close\r\n\r\nshort");
            return 200;
        }
        if (path == "/long")
        {
            const std::string block(1 << 20, 'x');
            mg_printf(connection,
                      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
            for (int i = 0; i < 17; ++i)
            {
                mg_write(connection, block.data(), block.size());
            }
            return 200;
        }
        const char* status = path == "/missing" ? "404 Not Found"
                             : path == "/wrong" ? "400 Bad Request"
                                                : "200 OK";
        const std::string body = path + "?" + query;
        mg_printf(connection,
                  "HTTP/1.1 %s\r\nContent-Length: %zu\r\n"
                  "Connection: close\r\n\r\n%s",
                  status, body.size(), body.c_str());
        return 200;
    }

    mg_context* context_ = nullptr;
    endpoint address_;
};

} // namespace

TEST_CASE("generated pages match the output of the commands")
{
    const fixture f;
    CHECK(f.run({"events", "--markdown"}).out == read_page("events.md"));
    CHECK(f.run({"settings", "--markdown"}).out == read_page("settings.md"));
    CHECK(f.run({"metrics", "--markdown"}).out == read_page("metrics.md"));
    CHECK(f.run({"help", "--markdown"}).out == read_page("cli.md"));
}

TEST_CASE("every command has help and a version and rejects unknown options")
{
    const fixture f;
    const auto commands = nlohmann::json::parse(f.run({"help", "--json"}).out);
    REQUIRE(commands.size() == 10);
    for (const auto& command : commands)
    {
        const std::string name = command["command"];
        INFO(name);
        const command_result help = f.run({name, "--help"});
        CHECK(help.code == exit_code::ok);
        CHECK(contains(help.out, "Usage: catkinkeel " + name));
        CHECK(f.run({name, "--version"}).out == "catkinkeel 0.1.0\n");
        for (const char* option : {"--nonsense", "--", "--FILE", "-x"})
        {
            const command_result refused = f.run({name, option});
            CHECK(refused.code == exit_code::usage);
            CHECK(refused.out.empty());
        }
    }
    CHECK(f.run({}).code == exit_code::usage);
    CHECK(f.run({"statsu"}).code == exit_code::usage);
    CHECK(f.run({"--version"}).out == "catkinkeel 0.1.0\n");
    CHECK(f.client.requests.empty());
}

TEST_CASE("an unreachable daemon does not hide the status of others")
{
    fixture f;
    f.client.responses["127.0.0.1:9080/v1/status"] = status_json(1, 7);
    const command_result single_result = f.run({"status"});
    CHECK(single_result.code == exit_code::ok);
    CHECK(contains(single_result.out, "VM 1 zilina-a-1"));
    CHECK(contains(single_result.out, "set: 7 in effect"));
    CHECK(contains(single_result.out, "suspect"));
    CHECK_FALSE(contains(f.run({"status", "--summary"}).out, "suspect"));

    const command_result combined_result = f.run(
        {"status", "-d", "127.0.0.1:9080", "-d", "127.0.0.2:9080", "--json"});
    CHECK(combined_result.code == exit_code::unreachable);
    CHECK(combined_result.error ==
          "catkinkeel: 127.0.0.2:9080 does not respond\n");
    const auto parsed = nlohmann::json::parse(combined_result.out);
    REQUIRE(parsed["daemons"].size() == 2);
    CHECK(parsed["daemons"][0]["status"]["set"]["in_effect"] == 7);
    CHECK(parsed["daemons"][1]["error"] == "127.0.0.2:9080 does not respond");
}

TEST_CASE("status reports a refused set and differing versions as findings")
{
    fixture f;
    status_document refusing;
    refusing.daemon.vm = {1};
    refusing.set.in_effect = {7};
    refusing.set.last_refused = refused_set{{8}, {}, {"reference 5 dangles"}};
    f.client.responses["127.0.0.1:9080/v1/status"] = to_json(refusing);
    f.client.responses["127.0.0.2:9080/v1/status"] = status_json(2, 6);
    const command_result result =
        f.run({"status", "-d", "127.0.0.1:9080", "-d", "127.0.0.2:9080"});
    CHECK(result.code == exit_code::findings);
    CHECK(contains(result.out, "    reference 5 dangles\n"));
    CHECK(contains(result.out, "finding: VM 1 refused set 8 and has set 7 in "
                               "effect\n"));
    CHECK(contains(result.out, "finding: sets 6 to 7 are in effect at "
                               "different daemons\n"));
}

TEST_CASE("a response that is not valid JSON is reported as an error")
{
    fixture f;
    f.client.responses["127.0.0.1:9080/v1/status"] = "<html>";
    const command_result result = f.run({"status"});
    CHECK(result.code == exit_code::invalid_response);
    CHECK(result.out.empty());
    CHECK(contains(result.error, "not a JSON object"));
}

TEST_CASE("audit and explain pass their arguments on in the request")
{
    fixture f;
    audit_document audit;
    audit.entries = {{.sequence = 9,
                      .name = "set_in_effect",
                      .text = "set 7 is in effect, published by jana",
                      .version = {7},
                      .cause = "published set",
                      .published_by = "jana"}};
    f.client.responses["127.0.0.1:9080/v1/audit?after=5&limit=20"] =
        to_json(audit);
    const command_result audit_result =
        f.run({"audit", "--after", "5", "--limit", "20"});
    CHECK(audit_result.code == exit_code::ok);
    CHECK(contains(audit_result.out, "published set  jana"));
    CHECK(f.run({"audit", "--after", "-1"}).code == exit_code::usage);
    CHECK(f.run({"audit", "--limit", "0"}).code == exit_code::usage);

    explain_document explained;
    explained.action = explained_action::deliver;
    explained.target = target_id{11};
    f.client.responses["127.0.0.1:9080/v1/explain?caller=10.0.0.1:5&"
                       "public=10.0.0.2:443&protocol=udp"] = to_json(explained);
    const command_result explain_result =
        f.run({"explain", "10.0.0.1:5", "10.0.0.2:443", "udp"});
    CHECK(explain_result.code == exit_code::ok);
    CHECK(contains(explain_result.out, "action: deliver, target: 11"));
    CHECK(f.run({"explain", "10.0.0.1", "10.0.0.2:443", "udp"}).code ==
          exit_code::usage);
    CHECK(f.run({"status", "-d", "localhost"}).code == exit_code::usage);
}

TEST_CASE("check and diff report findings by exit code, text and JSON")
{
    const fixture f;
    const std::string good = sample_directory + "exlibris-zilina-a-1.toml";
    // The fake does not parse objects, so any file without "bad" is valid.
    CHECK(f.run({"check", good}).code == exit_code::ok);
    CHECK(f.run({"check", sample_directory}).out ==
          "no findings in 2 documents\n");
    const std::string bad = CATKINKEEL_SOURCE_DIR "/docs/events.md";
    const command_result found = f.run({"check", bad});
    CHECK(found.code == exit_code::findings);
    CHECK(found.out == bad + ", line 3: reference 5: service: is dangling "
                             "[reference_service_exists]\n");
    const auto parsed =
        nlohmann::json::parse(f.run({"check", "--json", bad}).out);
    CHECK(parsed["findings"][0]["object"] == "reference 5");
    CHECK(f.run({"check", sample_directory + "none.toml"}).code ==
          exit_code::unreadable);

    CHECK(f.run({"diff", good, good}).out == "no changes\n");
    const command_result changed = f.run({"diff", good, bad});
    CHECK(changed.code == exit_code::findings);
    CHECK(contains(changed.out, "changed  target 11  weight 1 -> 2"));
}

TEST_CASE("settings check lists every problem of a file")
{
    const fixture f;
    CHECK(f.run({"settings", "check",
                 sample_directory + "exlibris-zilina-a-1.toml"})
              .code == exit_code::ok);
    const command_result invalid = f.run(
        {"settings", "check", "--json", CATKINKEEL_SOURCE_DIR "/docs/cli.md"});
    CHECK(invalid.code == exit_code::findings);
    CHECK(nlohmann::json::parse(invalid.out)["problems"][0]["line"] == 3);
    CHECK(f.run({"settings", "check", "/"}).code == exit_code::unreadable);
    CHECK(f.run({"settings"}).code == exit_code::usage);
    CHECK(f.run({"settings", "check"}).code == exit_code::usage);
}

TEST_CASE("wish prints the edit and rejects invalid names")
{
    const fixture f;
    const auto wish = [&f](const char* action, const char* name)
    {
        return f.run({"wish", "--json", action, name});
    };
    const auto value = [&wish](const char* action, const char* name)
    {
        return nlohmann::json::parse(wish(action, name).out)["value"]
            .get<std::string>();
    };
    CHECK(value("drain", "11") == "drain");
    CHECK(value("undrain", "10.0.0.1:80") == "serve");
    CHECK(value("out", "zilina-a") == "out_of_service");
    CHECK(value("in", "zilina-a") == "in_service");
    CHECK(contains(f.run({"wish", "drain", "11"}).out,
                   "[[target]] with id = 11, set\n\n    state = \"drain\""));
    CHECK(contains(f.run({"wish", "out", "zilina-a"}).out,
                   "[[data_centre]] with name = \"zilina-a\", set\n\n    "
                   "state = \"out_of_service\""));
    CHECK(wish("drain", "0").code == exit_code::usage);
    CHECK(wish("drain", "zilina-a").code == exit_code::usage);
    CHECK(wish("out", "a\"b").code == exit_code::usage);
    CHECK(wish("remove", "11").code == exit_code::usage);
}

TEST_CASE("every combination of arguments gives output or an error")
{
    fixture f;
    f.client.responses["127.0.0.1:9080/v1/status"] = status_json(1, 7);
    const std::vector<std::string> tokens{
        "check", "diff",    "status",  "audit",    "explain", "settings",
        "wish",  "--json",  "-j",      "--daemon", "-d",      "--help",
        "-h",    "events",  "--limit", "-l",       "-1",      "99999999999999",
        "",      "-",       "--",      "drain",    "in",      "10.0.0.1:80",
        "tcp",   "--after", "a=b",     "\a",       "*",       "--ignore_rest"};
    const bool passed = rc::check(
        [&](std::uint64_t seed)
        {
            random_source random(seed);
            std::vector<std::string> arguments;
            for (std::uint64_t i = random.below(7); i > 0; --i)
            {
                arguments.push_back(tokens[random.below(tokens.size())]);
            }
            const command_result result = f.run(arguments);
            RC_ASSERT(!result.out.empty() || !result.error.empty());
        });
    CHECK(passed);
}

TEST_CASE("the HTTP client distinguishes responses, refusals and truncation")
{
    fake_http_server server;
    const civetweb_client client(std::chrono::seconds{30});
    const auto failure_of = [&](const char* path)
    {
        return client.get(server.address(), path).error().kind;
    };
    CHECK(client.get(server.address(), "/v1/audit?after=1&limit=2") ==
          outcome<std::string>("/v1/audit?after=1&limit=2"));
    CHECK(failure_of("/missing") == failure_kind::not_found);
    CHECK(failure_of("/wrong") == failure_kind::invalid_input);
    CHECK(failure_of("/cut") == failure_kind::unavailable);
    CHECK(failure_of("/long") == failure_kind::limit_exceeded);
    server.stop();
    CHECK(failure_of("/v1/status") == failure_kind::unavailable);
}
