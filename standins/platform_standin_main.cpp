// platform_standin: serves a published set and a VM list on the loopback
// interface until it receives SIGINT or SIGTERM.
//
// Example:
//   platform_standin --port 8100 --directory /tmp/platform
//
// The directory holds set.toml (a whole-set document) and vms.toml. Both are
// read every second and published if they changed.

#include "standins/platform_standin.hpp"

#include <tclap/CmdLine.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

using namespace catkinkeel;

namespace
{

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Publishes the files of a directory whenever they change.
class directory_reader
{
public:
    explicit directory_reader(std::string path) : path_(std::move(path)) {}

    void read(platform_standin& standin)
    {
        const auto set = read_file(path_ + "/set.toml");
        if (set && set != last_set_)
        {
            last_set_ = set;
            publish(standin, *set);
        }
        const auto vms = read_file(path_ + "/vms.toml");
        if (vms && vms != last_vms_)
        {
            last_vms_ = vms;
            standin.set_vms(*vms);
            std::cout << "published vms.toml\n";
        }
    }

private:
    static void publish(platform_standin& standin, const std::string& text)
    {
        const auto read = parse_whole_set(text, "set.toml");
        if (const auto* errors =
                std::get_if<std::vector<document_error>>(&read))
        {
            for (const document_error& each : *errors)
            {
                std::cerr << to_string(each) << "\n";
            }
            return;
        }
        const auto& objects = std::get<published_objects>(read);
        standin.publish(objects);
        std::cout << "published version " << objects.version.value << "\n";
    }

    std::string path_;
    std::optional<std::string> last_set_;
    std::optional<std::string> last_vms_;
};

int run(std::uint16_t port, unsigned max_requests, const std::string& directory,
        standin_mode mode)
{
    // Blocked before any thread starts, so that only sigtimedwait receives
    // them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const auto standin = platform_standin::start(port, max_requests);
    if (!standin)
    {
        std::cerr << standin.error().message << "\n";
        return 1;
    }
    standin.value()->set_mode(mode);
    std::cout << "listening on " << to_string(standin.value()->address())
              << std::endl;
    directory_reader reader(directory);
    const timespec report_period{1, 0};
    standin_read_counts previous;
    do
    {
        if (!directory.empty())
        {
            reader.read(*standin.value());
        }
        const standin_read_counts current = standin.value()->reads();
        if (current != previous)
        {
            std::cout << "reads/second: index "
                      << current.index - previous.index << ", chunks "
                      << current.chunks - previous.chunks << ", vms "
                      << current.vms - previous.vms << ", failed "
                      << current.failed - previous.failed << std::endl;
        }
        previous = current;
    } while (sigtimedwait(&signals, nullptr, &report_period) < 0);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine command("Stand-in for the platform", ' ', "0.1.0");
        TCLAP::ValueArg<std::uint16_t> port(
            "p", "port", "port on 127.0.0.1; 0 takes a free one", false, 0,
            "port", command);
        TCLAP::ValueArg<unsigned> max_requests("w", "watches",
                                               "requests served at once", false,
                                               64, "number", command);
        TCLAP::ValueArg<std::string> directory(
            "d", "directory", "directory with set.toml and vms.toml", false, "",
            "path", command);
        TCLAP::ValueArg<std::string> mode("m", "mode",
                                          "normal, stale, older or error",
                                          false, "normal", "mode", command);
        command.parse(argc, argv);
        const auto parsed_mode = parse_standin_mode(mode.getValue());
        if (!parsed_mode)
        {
            std::cerr << parsed_mode.error().message << "\n";
            return 1;
        }
        return run(port.getValue(), max_requests.getValue(),
                   directory.getValue(), parsed_mode.value());
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << error.argId() << ": " << error.error() << "\n";
        return 1;
    }
}
