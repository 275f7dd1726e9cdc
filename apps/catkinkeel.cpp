// The operators' command-line tool.

#include "catkinkeel/cli/cli.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

int main(int count, char** values)
{
    using namespace catkinkeel;
    // A daemon answers from a snapshot in memory, so seconds mean trouble.
    const civetweb_client daemons(std::chrono::seconds{3});
    const published_contract_tools contract;
    const command_result result = run_cli(
        {values + std::min(count, 1), values + count}, {daemons, contract});
    std::cerr << result.error;
    std::cout << result.out << std::flush;
    return static_cast<int>(result.code);
}
