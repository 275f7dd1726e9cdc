// Main program of the daemon of one entry VM.

#include "apps/process.hpp"
#include "catkinkeel/clock/clock.hpp"
#include "catkinkeel/daemon/daemon.hpp"
#include "catkinkeel/operators/documents.hpp"

#include <tclap/CmdLine.h>

#include <iostream>
#include <memory>
#include <string>

namespace
{

using namespace catkinkeel;

int run(const daemon_settings& settings, const sigset_t& signals)
{
    const auto events =
        std::make_shared<event_reporter>(std::make_shared<event_log>(
            boost_log_sink::to_stderr(settings.log_encoding,
                                      settings.log_level),
            settings.audit_capacity));
    const auto started = entry_daemon::start(settings, events);
    if (!started)
    {
        events->report(event_number::startup_failed,
                       {field("reason", started.error().message)});
        return startup_failure;
    }
    for (;;)
    {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != SIGHUP)
        {
            started.value()->shut_down();
            return success;
        }
        started.value()->reload_keys();
    }
}

int check_and_run(const std::string& file, bool check_only)
{
    const auto text = read_text_file(file, max_settings_size);
    if (!text)
    {
        std::cerr << text.error().message << '\n';
        return startup_failure;
    }
    const settings_result parsed = parse_settings(text.value());
    if (const auto* problems =
            std::get_if<std::vector<settings_problem>>(&parsed))
    {
        for (const settings_problem& each : *problems)
        {
            std::cerr << file << ": " << to_string(each) << '\n';
        }
        return startup_failure;
    }
    if (check_only)
    {
        return success;
    }
    const sigset_t signals = block_signals();
    return run(std::get<daemon_settings>(parsed), signals);
}

} // namespace

int main(int argc, char** argv)
{
    return run_main(
        [&]
        {
            TCLAP::CmdLine line("The catkinkeel daemon of one entry VM", ' ',
                                std::string(release()));
            const TCLAP::ValueArg<std::string> file("s", "settings",
                                                    "Settings file (TOML)",
                                                    true, "", "FILE", line);
            const TCLAP::SwitchArg check(
                "c", "check", "Check the settings file and exit", line);
            version_output output("catkinkeeld");
            line.setOutput(&output);
            line.setExceptionHandling(false);
            line.parse(argc, argv);
            return check_and_run(file.getValue(), check.getValue());
        });
}
