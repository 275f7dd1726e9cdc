// Runs a soak. Writes orders for the daemons' processes to standard output, one
// a line, and reads "exited DAEMON STATUS" from standard input: soak/run.sh
// starts and signals the processes. Exit status 1 if a promise was broken.

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

/// Reads the ends of processes, a line each.
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
            input_, lines_, '\n',
            [this](boost::system::error_code error, std::size_t)
            {
                if (error)
                {
                    return;
                }
                std::istream stream(&lines_);
                std::string word;
                std::uint32_t daemon = 0;
                int status = 0;
                if (stream >> word >> daemon >> status && word == "exited")
                {
                    site_.note_exit(daemon, status);
                }
                stream.ignore(1);
                read();
            });
    }

    asio::posix::stream_descriptor input_;
    asio::streambuf lines_;
    soak_site& site_;
};

int run(const soak_plan& plan)
{
    asio::io_context context;
    const instant began = steady_now();
    const auto log = [began](const std::string& line)
    {
        std::cerr << (steady_now() - began) / 1ms << " ms " << line << '\n';
    };
    soak_site site(
        context, plan,
        [&](std::string_view order, std::uint32_t daemon)
        {
            log(std::string(order) + " daemon " + std::to_string(daemon));
            std::cout << order << ' ' << daemon << std::endl;
        },
        log);
    const exit_reader exits(context, site);
    site.start([&] { context.stop(); });
    context.run();
    const flow_counts& counts = site.checker().counts();
    std::cerr << "seed " << plan.seed << ": " << counts.opened
              << " flows opened, " << counts.finished << " finished, "
              << counts.lost_with_target << " lost with their target, "
              << counts.refused << " refused, " << counts.not_opened
              << " not opened, " << counts.packets_checked
              << " packets checked, " << site.checker().violations().size()
              << " promises broken\n";
    for (const std::string& each : site.checker().violations())
    {
        std::cerr << "BROKEN " << each << '\n';
    }
    return site.checker().violations().empty() ? success : invariant_violated;
}

/// Writes the daemons' settings files.
int prepare(const soak_plan& plan, const std::string& directory)
{
    for (std::uint32_t i = 0; i < plan.daemons; ++i)
    {
        const std::string file =
            directory + "/vm" + std::to_string(i) + ".yaml";
        std::ofstream out(file);
        out << plan.settings(i);
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
            TCLAP::CmdLine line("Soaks the edge daemon under seeded faults",
                                ' ', std::string(release()));
            const soak_plan usual;
            const TCLAP::ValueArg<std::uint64_t> seed(
                "", "seed", "Repeats a schedule", false, usual.seed, "N", line);
            const TCLAP::ValueArg<std::uint32_t> daemons(
                "", "daemons", "Daemons", false, usual.daemons, "N", line);
            const TCLAP::ValueArg<std::uint32_t> targets(
                "", "targets", "Backend servers", false, usual.targets, "N",
                line);
            const TCLAP::ValueArg<std::uint32_t> seconds(
                "", "seconds", "Time in which faults and flows begin", false,
                60, "N", line);
            const TCLAP::ValueArg<std::uint32_t> rate(
                "", "rate", "New flows a second", false, usual.rate, "N", line);
            const TCLAP::ValueArg<std::uint32_t> network(
                "", "network", "Second byte of the addresses", false,
                usual.network, "1-255", line);
            const TCLAP::ValueArg<std::string> directory(
                "", "prepare", "Only write settings files here", false, "",
                "DIRECTORY", line);
            line.parse(argc, argv);
            const soak_plan plan{
                .seed = seed.getValue(),
                .daemons = daemons.getValue(),
                .targets = targets.getValue(),
                .length = std::chrono::seconds(seconds.getValue()),
                .rate = rate.getValue(),
                .network = static_cast<std::uint8_t>(network.getValue())};
            if (const auto valid = check(plan);
                !valid || network.getValue() > 255)
            {
                std::cerr << (valid ? "network: 1 to 255"
                                    : valid.error().message)
                          << '\n';
                return static_cast<int>(invalid_usage);
            }
            return directory.isSet() ? prepare(plan, directory.getValue())
                                     : run(plan);
        });
}
