// Case: the configuration grows by many routes, to just under the store's
// value_bytes, while machines have links of 10 Mbit/s, as on
// exlibris-centrala-grown. Nothing is disturbed.
//
// Rule CONFIG: a request sent later than config_apply_ms after the confirmation
// of a version is handled as only an older version allows (here: run by the old
// service), by machines in touch.

#include <iostream>

#include "deployment.h"

namespace
{

using namespace review;

/// The bounds of exlibris-centrala-grown.
constexpr int config_apply_ms = 5000;
constexpr int drain_ms = 5000;
constexpr int stability_ms = 5000;
/// Growth of the configuration; the site's dose of `big_config` is 1,400.
constexpr int growth[] = {1400, 1400, 1400, 1400, 700};
constexpr std::size_t value_bytes = 1'048'576;
constexpr int changes = 4;

store::settings link_of_small_machines()
{
    store::settings settings;
    settings.link_mbps = 10;
    return settings;
}

int play(const std::string& folder)
{
    const bool trouble = trouble_wanted();
    deployment site({.daemon_zones = {"zilina-a", "zilina-a", "zilina-b",
                                      "zilina-b", "zilina-b", "trnava-c"},
                     .store_settings = link_of_small_machines(),
                     .flows_per_second = 150,
                     .seed = 17,
                     .apply_ms = config_apply_ms,
                     .drain_ms = drain_ms,
                     .stability_ms = stability_ms},
                    folder);
    std::mutex mutex;
    std::string service;
    double confirmed = 0;
    std::uint64_t runs = 0;
    std::uint64_t late = 0;
    double latest = 0;
    site.packets->on_run = [&](const run& each)
    {
        const std::lock_guard lock(mutex);
        ++runs;
        const double age = each.sent_at - confirmed;
        if (each.target.service == service || age <= config_apply_ms)
        {
            return;
        }
        const auto through = site.find(each.daemon_ip);
        const bool counts = through && through->in_touch(stability_ms + 200);
        late += counts ? 1 : 0;
        latest = counts ? std::max(latest, age) : latest;
        site.record.line("target " + each.target.id +
                         " of the old service took " + each.attempt +
                         ", sent " + std::to_string(static_cast<int>(age)) +
                         " ms after the store confirmed the change, through " +
                         (through ? through->site().name : "?") +
                         (counts ? ", in touch: BROKEN" : ", not in touch"));
    };

    const std::string host = site.address(9, 1);
    const std::vector<std::string> services{"orderdesk", "orderdesk-next"};
    std::uint64_t version = 7;
    std::vector<route_text> routes{{"r-proof", host, "", 8443}};
    const auto publish = [&](const std::string& next)
    {
        routes[0].service = next;
        const std::string text = configuration_text(version, routes, services);
        if (text.size() > value_bytes)
        {
            throw std::runtime_error("the configuration is too large");
        }
        const double at = site.platform->put("op/config", text);
        version += 3;
        const std::lock_guard lock(mutex);
        service = next;
        confirmed = at;
        site.record.line("store: confirmed a configuration of " +
                         std::to_string(routes.size()) + " routes, " +
                         std::to_string(text.size()) +
                         " bytes; the first one leads to " + next);
    };
    publish(services[0]);
    for (std::size_t i = 0; i < 12; ++i)
    {
        site.start_target(site.new_target(services[i % 2], site.zone(i / 2)));
    }
    pause_ms(6000);
    for (const auto& each : site.daemons)
    {
        each->start();
    }
    if (!site.wait_until_ready())
    {
        std::cout << "the daemons did not get ready\n";
        return 2;
    }
    site.packets->set_references({{host, 8443}});
    site.packets->start_load();
    pause_ms(6000);

    for (const int count : growth)
    {
        for (int i = 0; trouble && i < count; ++i)
        {
            // Routes without traffic.
            const auto number = static_cast<unsigned>(routes.size());
            char name[16];
            std::snprintf(name, sizeof(name), "r-%07x",
                          number * 2654435761U >> 4U);
            routes.push_back({name,
                              "198.18." + std::to_string(number / 250) + "." +
                                  std::to_string(number % 250 + 1),
                              services[0], 8443});
        }
        publish(services[0]);
        pause_ms(7000);
    }
    for (int round = 0; round < changes; ++round)
    {
        publish(services[static_cast<std::size_t>(round + 1) % 2]);
        pause_ms(12'000);
    }
    site.packets->stop_load();
    pause_ms(2500);
    const auto totals = site.packets->counts();
    const std::lock_guard lock(mutex);
    const std::string result =
        "attempts " + std::to_string(totals.attempts) + ", answered " +
        std::to_string(totals.answered) + ", reset " +
        std::to_string(totals.refused) + ", failed " +
        std::to_string(totals.failed) + ", run " + std::to_string(runs) +
        ", run by the old service too late " + std::to_string(late) +
        ", sent at most " + std::to_string(static_cast<int>(latest)) +
        " ms after the confirmation";
    site.record.line(result);
    std::cout << result << (late > 0 ? "\nCONFIG broken\n" : "\nCONFIG held\n");
    return runs == 0 ? 2 : late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return play(argc > 1 ? argv[1] : ".");
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
