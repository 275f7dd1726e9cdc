// Main program of the edge daemon: one entry VM on a platform whose packets
// carry a flow token.

#include "apps/process.hpp"
#include "catkinkeel/base/release.hpp"
#include "catkinkeel/base/text_file.hpp"
#include "catkinkeel/edge/edge_daemon.hpp"
#include "platform/node_file.hpp"
#include "platform/packet_header.hpp"
#include "platform/store_client.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

namespace
{

using namespace catkinkeel;

/// Period at which the settings file is checked for changes; a signal triggers
/// the check earlier.
constexpr timespec settings_check_period{.tv_sec = 2, .tv_nsec = 0};

/// Maximum number of audit trail entries that the log keeps.
constexpr std::size_t audit_capacity = 256;

outcome<platform::node_settings> read_settings(const std::string& file)
{
    const auto text = read_text_file(file, {platform::max_node_file_size});
    if (!text)
    {
        return text.error();
    }
    return platform::parse_node_file(text.value());
}

/// Reads the settings file again. If it changed or is invalid, reports that as
/// an event.
void reload(const std::string& file, platform::node_settings& current,
            edge::event_channel& events)
{
    const auto reloaded = read_settings(file);
    if (!reloaded)
    {
        events.report(
            event_number::settings_reloaded,
            {field("result", "refused, " + reloaded.error().message)});
        return;
    }
    if (reloaded.value() == current)
    {
        return;
    }
    current = reloaded.value();
    events.report(event_number::settings_reloaded,
                  {field("result", "changed; addresses and times take effect "
                                   "at the next start")});
}

int serve(const std::string& file, platform::node_settings settings,
          const sigset_t& signals)
{
    const edge::edge_settings& daemon_settings = settings.edge;
    const auto events = std::make_shared<edge::event_channel>();
    const auto log = std::make_shared<event_log>(
        std::make_unique<boost_log_sink>(
            std::cout, daemon_settings.log_encoding, daemon_settings.log_level,
            log_flush::by_owner),
        audit_capacity);
    const edge::log_duty log_writer(events, log, [] { std::cout.flush(); });
    const auto daemon = edge::edge_daemon::start(
        daemon_settings,
        std::make_shared<platform::store_client>(settings.store,
                                                 settings.response_timeouts),
        std::make_shared<platform::packet_header_codec>(
            daemon_settings.packets.port),
        events);
    if (!daemon)
    {
        events->report(event_number::startup_failed,
                       {field("reason", daemon.error().message)});
        return startup_failure;
    }
    events->report(event_number::daemon_started,
                   {field("release", std::string(release())),
                    field("vm", daemon_settings.name),
                    field("data_centre", daemon_settings.data_centre)});
    for (;;)
    {
        const int signal =
            ::sigtimedwait(&signals, nullptr, &settings_check_period);
        if (signal == SIGTERM || signal == SIGINT)
        {
            daemon.value()->depart();
            return success;
        }
        reload(file, settings, *events);
    }
}

std::string default_settings_file()
{
    const char* file = std::getenv(platform::node_file_variable);
    return file == nullptr ? "" : file;
}

int check_and_serve(const std::string& file, bool check_only)
{
    const auto settings = read_settings(file);
    if (!settings)
    {
        std::cerr << file << ": " << settings.error().message << '\n';
        return startup_failure;
    }
    if (check_only)
    {
        return success;
    }
    return serve(file, settings.value(), block_signals());
}

} // namespace

int main(int argc, char** argv)
{
    return run_main(
        [&]
        {
            TCLAP::CmdLine line("The catkinkeel daemon of one entry VM on a "
                                "platform whose flows carry a token",
                                ' ', std::string(release()));
            const TCLAP::ValueArg<std::string> file(
                "s", "settings",
                std::string("The platform's settings file (YAML); by "
                            "default $") +
                    platform::node_file_variable,
                false, default_settings_file(), "FILE", line);
            const TCLAP::SwitchArg check(
                "c", "check", "Check the settings file and exit", line);
            version_output output("catkinkeel-edge");
            line.setOutput(&output);
            line.setExceptionHandling(false);
            line.parse(argc, argv);
            return check_and_serve(file.getValue(), check.getValue());
        });
}
