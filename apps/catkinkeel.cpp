// Main program of the command-line tool for operators.

#include "catkinkeel/cli/cli.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace catkinkeel;
    // A daemon serves requests from a snapshot in memory, so a response that
    // takes seconds indicates a fault.
    const civetweb_client client(std::chrono::seconds{3});
    const toml_published_set_tools set_tools;
    const command_result result =
        run_cli({argv + std::min(argc, 1), argv + argc}, {client, set_tools});
    std::cerr << result.error;
    std::cout << result.out << std::flush;
    return static_cast<int>(result.code);
}
