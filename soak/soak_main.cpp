// Runs a soak. Writes commands for the daemons' processes to standard output,
// one per line, and reads lines "exited DAEMON STATUS" from standard input;
// soak/run.sh starts and signals the processes. The exit status is 1 if an
// invariant ("promise") was violated.

#include "apps/process.hpp"
#include "catkinkeel/base/release.hpp"
#include "catkinkeel/clock/clock.hpp"
#include "soak/soak_site.hpp"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>

namespace
{

using namespace catkinkeel;
using namespace catkinkeel::soak;
namespace asio = boost::asio;

constexpr int invariant_violated = 1;

/// Reads from standard input which processes exited.
class exit_reader
{
public:
    exit_reader(asio::io_context& context, soak_site& site)
        : input_(context, ::dup(STDIN_FILENO)), site_(site)
    {
        read();
    }

private:
    void read()
    {
        asio::async_read_until(
            input_, buffer_, '\n',
            [this](boost::system::error_code error, std::size_t)
            {
                if (error)
                {
                    return;
                }
                std::istream stream(&buffer_);
                std::string event;
                std::uint32_t daemon = 0;
                int status = 0;
                if (stream >> event >> daemon >> status && event == "exited")
                {
                    site_.handle_exit(daemon, status);
                }
                stream.ignore(1);
                read();
            });
    }

    asio::posix::stream_descriptor input_;
    asio::streambuf buffer_;
    soak_site& site_;
};

int run(const soak_plan& plan)
{
    asio::io_context context;
    const instant start_time = steady_now();
    const auto log = [start_time](const std::string& line)
    {
        std::cerr << (steady_now() - start_time) / 1ms << " ms " << line
                  << '\n';
    };
    soak_site site(
        context, plan,
        [&](std::string_view command, std::uint32_t daemon)
        {
            log(std::string(command) + " daemon " + std::to_string(daemon));
            std::cout << command << ' ' << daemon << std::endl;
        },
        log);
    const exit_reader exit_events(context, site);
    site.start([&] { context.stop(); });
    context.run();
    const flow_counts& counts = site.checker().counts();
    std::cerr << "seed " << plan.seed << ": " << counts.opened
              << " flows opened, " << counts.finished << " finished, "
              << counts.lost_with_target << " lost with their target, "
              << counts.refused << " refused, " << counts.not_opened
              << " not opened, " << counts.requests_told
              << " told of a silent target within " << counts.longest_wait / 1ms
              << " ms, " << counts.packets_checked << " packets checked, "
              << site.checker().violations().size() << " promises broken\n";
    for (const std::string& violation : site.checker().violations())
    {
        std::cerr << "BROKEN " << violation << '\n';
    }
    return site.checker().violations().empty() ? success : invariant_violated;
}

/// Writes the settings file of each daemon.
int write_settings_files(const soak_plan& plan, const std::string& directory)
{
    for (std::uint32_t i = 0; i < plan.daemon_count; ++i)
    {
        const std::string file =
            directory + "/vm" + std::to_string(i) + ".yaml";
        std::ofstream out(file);
        out << plan.settings_text(i);
        out.close();
        if (!out)
        {
            std::cerr << file << ": cannot be written\n";
            return startup_failure;
        }
    }
    return success;
}

} // namespace

int main(int argc, char** argv)
{
    return run_main(
        [&]
        {
            TCLAP::CmdLine command_line(
                "Soaks the edge daemon under seeded faults", ' ',
                std::string(release()));
            const soak_plan default_plan;
            const TCLAP::ValueArg<std::uint64_t> seed(
                "", "seed", "Repeats a schedule", false, default_plan.seed, "N",
                command_line);
            const TCLAP::ValueArg<std::uint32_t> daemons(
                "", "daemons", "Daemons", false, default_plan.daemon_count, "N",
                command_line);
            const TCLAP::ValueArg<std::uint32_t> targets(
                "", "targets", "Backend servers", false,
                default_plan.target_count, "N", command_line);
            const TCLAP::ValueArg<std::uint32_t> seconds(
                "", "seconds", "Time in which faults and flows begin", false,
                60, "N", command_line);
            const TCLAP::ValueArg<std::uint32_t> rate(
                "", "rate", "New flows a second", false,
                default_plan.flows_per_second, "N", command_line);
            const TCLAP::ValueArg<std::uint32_t> network(
                "", "network", "Second byte of the addresses", false,
                default_plan.network, "1-255", command_line);
            const TCLAP::ValueArg<std::uint32_t> fault_kinds(
                "", "fault-kinds", "Only the first kinds of fault", false,
                default_plan.fault_kinds, "N", command_line);
            const TCLAP::ValueArg<std::string> directory(
                "", "prepare", "Only write settings files here", false, "",
                "DIRECTORY", command_line);
            command_line.parse(argc, argv);
            const soak_plan plan{
                .seed = seed.getValue(),
                .daemon_count = daemons.getValue(),
                .target_count = targets.getValue(),
                .active_time = std::chrono::seconds(seconds.getValue()),
                .flows_per_second = rate.getValue(),
                .network = static_cast<std::uint8_t>(network.getValue()),
                .fault_kinds = fault_kinds.getValue()};
            if (const auto validation = validate(plan);
                !validation || network.getValue() > 255)
            {
                std::cerr << (validation ? "network: 1 to 255"
                                         : validation.error().message)
                          << '\n';
                return static_cast<int>(invalid_usage);
            }
            return directory.isSet()
                       ? write_settings_files(plan, directory.getValue())
                       : run(plan);
        });
}
