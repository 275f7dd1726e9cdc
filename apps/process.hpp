#pragma once

// Shared by the daemons' main programs: signal handling, exit codes and the
// handling of command line errors.

#include <tclap/CmdLine.h>

#include <csignal>
#include <functional>
#include <string>
#include <utility>

namespace catkinkeel
{

enum exit_code : int
{
    success = 0,
    startup_failure = 1,
    invalid_usage = 2
};

/// Blocks SIGTERM, SIGINT and SIGHUP, so that only `sigwait` or `sigtimedwait`
/// receives them, and ignores SIGPIPE, so that a write to a connection closed
/// by the peer returns an error. Must be called before any thread starts, since
/// new threads inherit the signal mask.
sigset_t block_signals();

/// TCLAP output that prints the program's name and release on one line.
class version_output : public TCLAP::StdOutput
{
public:
    explicit version_output(std::string program) : program_(std::move(program))
    {
    }

    void version(TCLAP::CmdLineInterface& line) override;

private:
    std::string program_;
};

/// Runs `body` and returns its exit status. Handles the exceptions of TCLAP,
/// whose own handling `body` must turn off.
int run_main(const std::function<int()>& body);

} // namespace catkinkeel
