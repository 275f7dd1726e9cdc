// Case: the configuration has grown to just under the store's value_bytes,
// machines have links of 10 Mbit/s, as the small machines of
// exlibris-centrala-grown, and all processes are killed at once.
//
// Rule RECOVER: of the requests sent later than recovery_s after the machines
// are back, less than a quarter is served, though a quarter or more was before
// the final fault.

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
constexpr double recovery_ms = 15'000;
/// `down_s` of the site's closing faults is 1.0 to 1.5.
constexpr double down_ms = 1100;
constexpr double window_ms = 10'000;
/// Longest time from an attempt to its answer.
constexpr double deadline_ms = 2000;

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
    std::pair<double, double> window;
    std::uint64_t ended = 0;
    std::uint64_t answered = 0;
    site.packets->on_end = [&](double first_sent, bool has_answer)
    {
        const std::lock_guard lock(mutex);
        if (first_sent >= window.first && first_sent < window.second)
        {
            ++ended;
            answered += has_answer ? 1 : 0;
        }
    };
    site.packets->on_run = [&](const run& each)
    {
        const std::lock_guard lock(mutex);
        site.record.line("target " + each.target.id + " took " + each.attempt);
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
        site.platform->put("op/config", text);
        version += 3;
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
        for (int i = 0; i < count; ++i)
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
    // Share of the attempts sent within a window that are answered.
    const auto served_share = [&]
    {
        const double from = now_ms();
        {
            const std::lock_guard lock(mutex);
            window = {from, from + window_ms};
            ended = answered = 0;
        }
        pause_ms(window_ms + deadline_ms + 500);
        const std::lock_guard lock(mutex);
        return ended == 0
                   ? 0
                   : static_cast<double>(answered) / static_cast<double>(ended);
    };
    const double before = served_share();
    if (trouble)
    {
        for (const auto& each : site.daemons)
        {
            each->kill();
        }
        pause_ms(down_ms);
        for (const auto& each : site.daemons)
        {
            each->start();
        }
    }
    pause_ms(recovery_ms);
    const double after = served_share();
    site.packets->stop_load();
    pause_ms(2500);
    const auto totals = site.packets->counts();
    const bool broken = before >= 0.25 && after < 0.25;
    char shares[96];
    std::snprintf(shares, sizeof(shares),
                  ", share served before %.3f, later than recovery_s after "
                  "the fault %.3f",
                  before, after);
    const std::string result = "attempts " + std::to_string(totals.attempts) +
                               ", answered " + std::to_string(totals.answered) +
                               ", reset " + std::to_string(totals.refused) +
                               ", failed " + std::to_string(totals.failed) +
                               shares;
    site.record.line(result);
    std::cout << result << (broken ? "\nRECOVER broken\n" : "\nRECOVER held\n");
    return before < 0.25 ? 2 : broken ? 1 : 0;
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
