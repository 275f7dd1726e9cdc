// Case: daemons are killed and start again while targets leave. The store has
// more items than fit into one page, and its followers are behind.
//
// Rule DRAIN: a request reaches a target later than drain_ms after a machine in
// touch acknowledged that the target is draining, taken from the client and
// sent on by machines in touch. The confirmation is the store's.

#include <algorithm>
#include <iostream>
#include <unistd.h>

#include "deployment.h"

namespace
{

using namespace review;

constexpr double drain_ms = 3000;
/// Daemons that are killed at the same moment, and the pause until they start.
constexpr std::size_t killed_daemons = 3;
constexpr double restart_ms = 500;
/// Time that a draining target goes on serving: drain_ms and "a little longer
/// (at times many seconds)".
constexpr double leave_after_ms = 14'000;
constexpr std::size_t target_count = 640;
/// The site's dose of `scale_in`.
constexpr double leaving_share = 0.13;
constexpr int rounds = 4;

/// Two followers, 0.2 s and 3 s behind, answer the `serializable` reads in
/// turn.
store::settings lagging_followers()
{
    store::settings settings;
    settings.follower_lag_ms = {200, 3000};
    return settings;
}

int play(const std::string& folder)
{
    deployment site({.daemon_zones = {"zilina-a", "zilina-a", "zilina-b",
                                      "zilina-b", "zilina-b", "trnava-c"},
                     .store_settings = lagging_followers(),
                     .flows_per_second = 500,
                     .seed = 7},
                    folder);
    const bool trouble = trouble_wanted();
    std::mutex mutex;
    std::map<std::string, double> draining_since;
    std::uint64_t runs = 0;
    std::uint64_t late = 0;
    site.packets->on_run = [&](const run& each)
    {
        const std::lock_guard lock(mutex);
        ++runs;
        const auto drained = draining_since.find(each.target.id);
        if (drained == draining_since.end() ||
            each.arrived_at <= drained->second + drain_ms)
        {
            return;
        }
        const auto through = site.find(each.daemon_ip);
        const bool counts = through && through->in_touch(in_touch_ms);
        late += counts ? 1 : 0;
        site.record.line(
            "target " + each.target.id + " took " + each.attempt + " " +
            std::to_string(
                static_cast<int>(each.arrived_at - drained->second)) +
            " ms after the store confirmed that it drains, through " +
            (through ? through->site().name : "?") +
            (counts ? ", in touch: BROKEN" : ", not in touch"));
    };

    const std::string host = site.address(9, 1);
    site.platform->put(
        "op/config",
        configuration_text(7, {{"r-proof", host, "orderdesk", 8443}},
                           {"orderdesk"}));
    std::vector<target_info> targets;
    const std::vector<std::string> zones{"zilina-a", "zilina-b", "trnava-c"};
    for (std::size_t i = 0; i < target_count; ++i)
    {
        targets.push_back(site.new_target("orderdesk", zones[i % 3]));
        site.start_target(targets.back());
    }
    pause_ms(4000);
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
    pause_ms(4500);

    auto daemons = site.daemons;
    for (int round = 0; round < rounds; ++round)
    {
        // The plan: a share of the targets leaves, and the daemons are stopped
        // and started in turn.
        std::shuffle(targets.begin(), targets.end(), site.random);
        const auto leaving = static_cast<std::size_t>(
            leaving_share * static_cast<double>(targets.size()));
        for (std::size_t i = 0; i < leaving; ++i)
        {
            const target_info& each = targets[i];
            const double confirmed = site.platform->put(
                "servers/" + each.id, target_entry(each, "draining", 1));
            const std::lock_guard lock(mutex);
            draining_since[each.id] = confirmed;
        }
        const double started = now_ms();
        site.record.line("store: confirmed that " + std::to_string(leaving) +
                         " targets drain");
        if (trouble)
        {
            // The site's dose of `herd_kill`: 0.55 of the daemons at once.
            pause_ms(500);
            std::shuffle(daemons.begin(), daemons.end(), site.random);
            for (std::size_t i = 0; i < killed_daemons; ++i)
            {
                daemons[i]->kill();
            }
            pause_ms(restart_ms);
            for (std::size_t i = 0; i < killed_daemons; ++i)
            {
                daemons[i]->start();
            }
        }
        pause_ms(started + leave_after_ms - now_ms());
        for (std::size_t i = 0; i < leaving; ++i)
        {
            site.packets->remove_target(targets[i].id);
            site.platform->remove("servers/" + targets[i].id);
        }
        // Others take their places.
        for (std::size_t i = 0; i < leaving; ++i)
        {
            targets[i] = site.new_target("orderdesk", targets[i].zone);
            site.start_target(targets[i]);
        }
        pause_ms(5000);
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
        ", run too late at draining targets " + std::to_string(late) +
        ", cut when a target left " + std::to_string(totals.cut_at_exit);
    site.record.line(result);
    std::cout << result << (late > 0 ? "\nDRAIN broken\n" : "\nDRAIN held\n");
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
