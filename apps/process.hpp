#pragma once

// What the daemons' main programs share: signals, exit codes and the way in
// which a wrong command line ends the process.

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
    cannot_start = 1,
    wrong_usage = 2
};

/// Blocks SIGTERM, SIGINT and SIGHUP, to be taken by `sigwait` or
/// `sigtimedwait` only, and ignores SIGPIPE: a write to a connection that the
/// other side closed is an error value. Call it before any thread starts.
sigset_t block_signals();

/// TCLAP's output, with the release in one line.
class version_line : public TCLAP::StdOutput
{
public:
    explicit version_line(std::string program) : program_(std::move(program)) {}

    void version(TCLAP::CmdLineInterface& line) override;

private:
    std::string program_;
};

/// Runs `body`, which parses a command line with TCLAP's exception handling
/// off, and returns the exit status.
int run_command(const std::function<int()>& body);

} // namespace catkinkeel
