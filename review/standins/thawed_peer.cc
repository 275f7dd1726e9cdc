// Case: a machine is suspended for 4 s and wakes. The store's followers are
// seconds behind. A zone is evacuated while the machine stands still.
//
// Rule EVAC: a request reaches a target in a zone later than evacuation_ms
// after its evacuation was acknowledged and before it is taken back, from a
// machine in touch.

#include <iostream>

#include "deployment.h"

namespace
{

using namespace review;

constexpr double evacuation_ms = 5000;
/// The site's dose of `node_freeze`.
constexpr double freeze_ms = 4000;
/// "With `serializable` = 1, a read [...] may be seconds old."
constexpr double follower_lag_ms = 6000;
constexpr int rounds = 6;

store::settings followers()
{
    store::settings settings;
    settings.follower_lag_ms = {follower_lag_ms};
    settings.watches_at_followers = true;
    return settings;
}

int play(const std::string& folder)
{
    const bool trouble = trouble_wanted();
    deployment site({.daemon_zones = {"zilina-a", "zilina-a"},
                     .store_settings = followers(),
                     .flows_per_second = 120,
                     .seed = 13},
                    folder);
    const std::string evacuated = "zilina-a";
    std::mutex mutex;
    // Confirmation of the evacuation; none while the zone is in service.
    std::optional<double> confirmed;
    std::uint64_t runs = 0;
    std::uint64_t late = 0;
    double latest = 0;
    site.packets->on_run = [&](const run& each)
    {
        const std::lock_guard lock(mutex);
        ++runs;
        const double age = confirmed ? each.arrived_at - *confirmed : 0;
        if (each.target.zone != evacuated || age <= evacuation_ms)
        {
            return;
        }
        const auto through = site.find(each.daemon_ip);
        const bool counts = through && through->in_touch(in_touch_ms);
        late += counts ? 1 : 0;
        latest = counts ? std::max(latest, age) : latest;
        site.record.line(
            "target " + each.target.id + " took " + each.attempt + " " +
            std::to_string(static_cast<int>(age)) +
            " ms after the store confirmed the evacuation, through " +
            (through ? through->site().name : "?") +
            (counts ? ", in touch: BROKEN" : ", not in touch"));
    };
    // When a daemon last asked for the newest state.
    std::atomic<double> newest_read = 0;
    site.platform->on_read = [&](const std::string& path)
    {
        if (path.find("serializable=1") == std::string::npos)
        {
            newest_read = now_ms();
        }
    };
    const auto wait_for_newest_read = [&](double since, double at_most)
    {
        while (newest_read <= since && now_ms() < since + at_most)
        {
            pause_ms(5);
        }
    };

    const std::string host = site.address(9, 1);
    site.platform->put(
        "op/config",
        configuration_text(7, {{"r-proof", host, "orderdesk", 8443}},
                           {"orderdesk"}));
    for (std::size_t i = 0; i < 12; ++i)
    {
        site.start_target(
            site.new_target("orderdesk", i % 3 == 0 ? "zilina-b" : evacuated));
    }
    pause_ms(7000);
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
    pause_ms(5000);

    for (int round = 0; round < rounds; ++round)
    {
        const auto& machine =
            site.daemons[static_cast<std::size_t>(round) % site.daemons.size()];
        // The machine is suspended 0.6 s after some daemon has read the newest
        // state; the evacuation follows the next such read.
        wait_for_newest_read(now_ms(), 3000);
        pause_ms(600);
        const double start = now_ms();
        std::thread freezer(
            [&]
            { trouble ? machine->freeze(freeze_ms) : pause_ms(freeze_ms); });
        wait_for_newest_read(start + 100, 2700);
        pause_ms(20);
        const double at = site.platform->put("op/evacuate/" + evacuated, "{}");
        {
            const std::lock_guard lock(mutex);
            confirmed = at;
        }
        site.record.line("store: confirmed the evacuation");
        freezer.join();
        pause_ms(at + 6500 - now_ms());
        {
            const std::lock_guard lock(mutex);
            confirmed.reset();
        }
        site.platform->remove("op/evacuate/" + evacuated);
        site.record.line("store: the evacuation was taken back");
        pause_ms(3500);
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
        ", run in the evacuated zone too late " + std::to_string(late) +
        ", at most " + std::to_string(static_cast<int>(latest)) +
        " ms after the confirmation";
    site.record.line(result);
    std::cout << result << (late > 0 ? "\nEVAC broken\n" : "\nEVAC held\n");
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
