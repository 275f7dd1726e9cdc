// platform_standin: serves a published set and a VM list on the loopback
// interface until it is interrupted.
//
// Example:
//   platform_standin --port 8100 --directory /tmp/platform
//
// The directory holds set.toml (a whole-set document) and vms.toml. Both are
// read again every second and published when they have changed.

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

/// Publishes the files of a directory when they change.
class directory_reader
{
public:
    explicit directory_reader(std::string path) : path_(std::move(path)) {}

    void read(platform_standin& standin)
    {
        const auto set = read_file(path_ + "/set.toml");
        if (set && set != set_)
        {
            set_ = set;
            publish(standin, *set);
        }
        const auto vms = read_file(path_ + "/vms.toml");
        if (vms && vms != vms_)
        {
            vms_ = vms;
            standin.set_vms(*vms);
            std::cout << "vms.toml read\n";
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
    std::optional<std::string> set_;
    std::optional<std::string> vms_;
};

int run(std::uint16_t port, unsigned watches, const std::string& directory,
        standin_mode mode)
{
    // Blocked before any thread starts, so that only sigtimedwait takes them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    const auto standin = platform_standin::start(port, watches);
    if (!standin)
    {
        std::cerr << standin.error().message << "\n";
        return 1;
    }
    standin.value()->set_mode(mode);
    std::cout << "listening on " << to_string(standin.value()->address())
              << std::endl;
    directory_reader files(directory);
    const timespec second{1, 0};
    standin_reads before;
    do
    {
        if (!directory.empty())
        {
            files.read(*standin.value());
        }
        const standin_reads now = standin.value()->reads();
        if (now != before)
        {
            std::cout << "reads/second: index " << now.index - before.index
                      << ", chunks " << now.chunks - before.chunks << ", vms "
                      << now.vms - before.vms << ", failed "
                      << now.failed - before.failed << std::endl;
        }
        before = now;
    } while (sigtimedwait(&signals, nullptr, &second) < 0);
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
        TCLAP::ValueArg<unsigned> watches("w", "watches",
                                          "requests served at once", false, 64,
                                          "number", command);
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
        return run(port.getValue(), watches.getValue(), directory.getValue(),
                   parsed_mode.value());
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << error.argId() << ": " << error.error() << "\n";
        return 1;
    }
}
