#pragma once

// A deployment like exlibris-centrala: three zones with daemons, a store, and
// clients in each zone. Used by the cases' main programs.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include "site.h"

namespace review
{

/// `stability_ms` of the settings, and 200 ms for the way from client to
/// target.
constexpr double in_touch_ms = 4200;

/// Of `metrics` in deploy/system.toml.
constexpr std::uint16_t metrics_port = 9464;

inline bool trouble_wanted()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

inline void pause_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Starts the daemons, and ends them when it is destroyed.
class deployment
{
public:
    struct settings
    {
        /// Zone of each daemon.
        std::vector<std::string> daemon_zones;
        review::store::settings store_settings;
        double flows_per_second = 200;
        double work_ms = 25;
        unsigned seed = 1;
        /// Bounds in the settings files, in ms.
        int apply_ms = 3000, drain_ms = 3000, stability_ms = 4000;
    };

    deployment(settings s, const std::string& folder)
        : record(folder + "/record.txt"), random(s.seed)
    {
        std::random_device entropy;
        // A random part of the loopback range keeps runs apart. The daemons'
        // metrics port is fixed, so its addresses must be free.
        do
        {
            network_ = "127." + std::to_string(10 + entropy() % 200) + ".";
        } while (!is_free(network_ + "1.1", metrics_port) ||
                 !claim(network_ + "1.250", metrics_port));
        scratch_ = std::filesystem::temp_directory_path() /
                   ("review-" + std::to_string(::getpid()));
        std::filesystem::create_directories(scratch_);
        std::vector<std::string> daemon_ips;
        std::map<std::string, std::string> zones;
        packet_world::settings world;
        world.flows_per_second = s.flows_per_second;
        world.work_ms = s.work_ms;
        world.seed = s.seed;
        for (std::size_t i = 0; i < s.daemon_zones.size(); ++i)
        {
            daemon_ips.push_back(network_ + "1." + std::to_string(i + 1));
            zones[s.daemon_zones[i]] = "sk-west";
        }
        std::vector<std::string> every_ip = daemon_ips;
        for (const auto& [zone, region] : zones)
        {
            world.clients[zone] =
                network_ + "2." + std::to_string(world.clients.size() + 1);
            every_ip.push_back(world.clients[zone]);
        }
        world.packet_port = free_port(every_ip);
        const std::uint16_t readiness = free_port(daemon_ips);
        const std::uint16_t control = free_port(daemon_ips);
        const std::uint16_t notice = free_port(daemon_ips);
        s.store_settings.port = free_port({"127.0.0.1"});
        platform = std::make_unique<store>(s.store_settings, record);
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < daemon_ips.size() && i < 3; ++i)
        {
            seeds.push_back(daemon_ips[i] + ":" + std::to_string(control));
        }
        for (std::size_t i = 0; i < daemon_ips.size(); ++i)
        {
            const std::string name =
                "frontend-" + s.daemon_zones[i] + "-" + std::to_string(i + 1);
            const std::string file = scratch_ / (name + ".yaml");
            std::ofstream(file)
                << settings_text({.name = name,
                                  .zone = s.daemon_zones[i],
                                  .ip = daemon_ips[i],
                                  .zones = zones,
                                  .packet_port = world.packet_port,
                                  .readiness_port = readiness,
                                  .control_port = control,
                                  .notice_port = notice,
                                  .store_port = s.store_settings.port,
                                  .seeds = seeds,
                                  .apply_ms = s.apply_ms,
                                  .drain_ms = s.drain_ms,
                                  .stability_ms = s.stability_ms});
            daemons.push_back(std::make_shared<daemon>(
                daemon::settings{.name = name,
                                 .zone = s.daemon_zones[i],
                                 .ip = daemon_ips[i],
                                 .settings_file = file,
                                 .log_file = scratch_ / (name + ".log"),
                                 .packet_port = world.packet_port,
                                 .readiness_port = readiness},
                record));
        }
        packets = std::make_unique<packet_world>(world, daemons, record);
        poller_ = std::thread(
            [this]
            {
                while (!stopping_)
                {
                    for (const auto& each : daemons)
                    {
                        each->poll_readiness();
                    }
                    pause_ms(500);
                }
            });
    }

    ~deployment()
    {
        stopping_ = true;
        poller_.join();
        packets->stop_load();
        packets.reset();
        daemons.clear();
        platform.reset();
        if (std::getenv("KEEP_LOGS") == nullptr)
        {
            std::filesystem::remove_all(scratch_);
        }
    }

    /// Zone of a daemon, in turn.
    [[nodiscard]] const std::string& zone(std::size_t index) const
    {
        return daemons[index % daemons.size()]->site().zone;
    }

    [[nodiscard]] std::string address(unsigned network, unsigned host) const
    {
        return network_ + std::to_string(network) + "." + std::to_string(host);
    }

    /// A target that has not been started, with an id of the platform's form.
    target_info new_target(const std::string& service, const std::string& zone)
    {
        ++targets_;
        target_info info;
        info.identity = random() % 0xffffffffffULL + 1;
        char id[32];
        std::snprintf(id, sizeof(id), "i-%010llx",
                      static_cast<unsigned long long>(info.identity));
        info.id = id;
        info.service = service;
        info.zone = zone;
        info.ip = address(10 + targets_ / 200, 1 + targets_ % 200);
        info.port = 8080;
        return info;
    }

    void start_target(const target_info& info)
    {
        packets->add_target(info);
        platform->put("servers/" + info.id, target_entry(info, "ready", 1));
    }

    [[nodiscard]] std::shared_ptr<daemon> find(const std::string& ip) const
    {
        for (const auto& each : daemons)
        {
            if (each->site().ip == ip)
            {
                return each;
            }
        }
        return nullptr;
    }

    bool wait_until_ready()
    {
        for (int i = 0; i < 100; ++i)
        {
            bool all = true;
            for (const auto& each : daemons)
            {
                all = all && each->in_rotation();
            }
            if (all)
            {
                return true;
            }
            pause_ms(100);
        }
        return false;
    }

    record_file record;
    std::mt19937_64 random;
    std::unique_ptr<store> platform;
    std::vector<std::shared_ptr<daemon>> daemons;
    std::unique_ptr<packet_world> packets;

private:
    std::string network_;
    std::filesystem::path scratch_;
    std::thread poller_;
    std::atomic<bool> stopping_{false};
    unsigned targets_ = 0;
};

} // namespace review
