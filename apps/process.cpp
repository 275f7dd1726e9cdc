#include "apps/process.hpp"

#include <iostream>

namespace catkinkeel
{

sigset_t block_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    for (const int each : {SIGTERM, SIGINT, SIGHUP})
    {
        sigaddset(&signals, each);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void version_line::version(TCLAP::CmdLineInterface& line)
{
    std::cout << program_ << ' ' << line.getVersion() << '\n';
}

int run_command(const std::function<int()>& body)
{
    try
    {
        return body();
    }
    catch (const TCLAP::ArgException& problem)
    {
        std::cerr << problem.argId() << ": " << problem.error() << '\n';
        return wrong_usage;
    }
    catch (const TCLAP::ExitException& request)
    {
        return request.getExitStatus();
    }
}

} // namespace catkinkeel
