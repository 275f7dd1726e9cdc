// Case: the store's followers are seconds behind while the configuration
// changes. Nothing else happens.
//
// Rule CONFIG: a request sent later than config_apply_ms after the confirmation
// of a version is handled as only an older version allows (here: run by the old
// service), by machines in touch.

#include <iostream>

#include "deployment.h"

namespace
{

using namespace review;

constexpr double config_apply_ms = 3000;
/// "With `serializable` = 1, a read [...] may be seconds old." The site's dose
/// of stale reads is 6 s.
constexpr double follower_lag_ms = 5000;
constexpr double fresh_follower_lag_ms = 20;
constexpr int rounds = 9;

store::settings followers(bool stale)
{
    store::settings settings;
    settings.follower_lag_ms = {stale ? follower_lag_ms
                                      : fresh_follower_lag_ms};
    settings.watches_at_followers = true;
    return settings;
}

int play(const std::string& folder)
{
    const bool trouble = trouble_wanted();
    deployment site({.daemon_zones = {"zilina-a", "zilina-a", "zilina-b",
                                      "zilina-b", "zilina-b", "trnava-c"},
                     .store_settings = followers(trouble),
                     .flows_per_second = 150,
                     .seed = 11},
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
        const bool counts = through && through->in_touch(in_touch_ms);
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
    const auto publish = [&](const std::string& next)
    {
        const double at = site.platform->put(
            "op/config",
            configuration_text(version, {{"r-proof", host, next, 8443}},
                               services));
        version += 3;
        const std::lock_guard lock(mutex);
        service = next;
        confirmed = at;
        site.record.line("store: confirmed that the route leads to " + next);
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

    for (int round = 0; round < rounds; ++round)
    {
        publish(services[static_cast<std::size_t>(round + 1) % 2]);
        // Changes the phase between this round and the daemons' reads.
        pause_ms(10'000 + 130 * round);
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
