#include "apps/process.hpp"

#include <exception>
#include <iostream>

namespace catkinkeel
{

sigset_t block_signals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
    {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

void version_output::version(TCLAP::CmdLineInterface& line)
{
    std::cout << program_ << ' ' << line.getVersion() << '\n';
}

int run_main(const std::function<int()>& body)
{
    try
    {
        return body();
    }
    catch (const TCLAP::ArgException& exception)
    {
        std::cerr << exception.argId() << ": " << exception.error() << '\n';
        return invalid_usage;
    }
    catch (const TCLAP::ExitException& exit)
    {
        return exit.getExitStatus();
    }
    catch (const std::exception& error)
    {
        std::cerr << "unexpected error: " << error.what() << '\n';
        return startup_failure;
    }
}

} // namespace catkinkeel
