// Plays a fleet of daemons before targets of which some answer with errors.

#include "catkinkeel/steering/steerer.hpp"
#include "catkinkeel/steering/steering_samples.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace catkinkeel;
using namespace catkinkeel::steering;

namespace
{

constexpr std::uint16_t booking_port = 443;

struct play_settings
{
    bool judges_answers = false;
    /// Number of targets that fail from 10 s to 17 s, and the part of their
    /// requests in percent.
    std::uint32_t failing = 14;
    std::uint32_t failing_percent = 100;
    /// Short answers of every target, in percent.
    std::uint32_t short_percent = 0;
    std::uint32_t error_bytes = 208;
};

/// 60 daemons before 120 targets in three data centres. 286 bookings and 1,000
/// idempotent requests of another reference a second for 45 s, one a flow.
struct fleet_play
{
    explicit fleet_play(const play_settings& played) : settings(played)
    {
        auto configuration =
            sample_configuration(1, {{booking_port, "desk"}, {444, "desk"}});
        configuration.references[1].terms.idempotent = true;
        std::vector<metadata_change> changes{
            configuration_published{configuration}};
        for (std::uint32_t i = 0; i < 120; ++i)
        {
            changes.emplace_back(target_announced{
                sample_target("t" + std::to_string(i), "desk",
                              std::string(1, "abc"[i % 3]), 100 + i)});
        }
        catalog content{catalog_settings{}};
        content.apply({true, 1, changes}, at(0s));
        for (std::uint32_t i = 0; i < 60; ++i)
        {
            daemons.emplace_back(
                steerer_settings{.data_centre = std::string(1, "abc"[i % 3]),
                                 .judges_answers = settings.judges_answers},
                std::make_shared<least_cost_policy>(selection_weights{}),
                random_source(i + 1));
            daemons.back().replace_view(
                std::make_shared<const steering_view>(content.make_view()));
        }
    }

    fleet_play& run()
    {
        for (std::uint32_t i = 0; i < 45 * 1286; ++i)
        {
            events.emplace(at(i * duration(1s) / 1286),
                           [this, i] { open(i % 9 < 2 ? 443 : 444, i); });
        }
        for (std::uint32_t i = 0; i < 450; ++i)
        {
            events.emplace(at(i * 100ms), [this] { share_reports(); });
        }
        for (; !events.empty(); events.erase(events.begin()))
        {
            now = events.begin()->first;
            events.begin()->second();
        }
        return *this;
    }

    void open(std::uint16_t port, std::uint32_t number)
    {
        steerer& daemon = daemons[random.below(60)];
        flow_packet packet{.key = {{{number + 1}, port}, address(1, port)},
                           .opens = true};
        const auto to = std::get<forward>(daemon.decide(packet, now).decision);
        daemon.record_sent(now);
        placements.push_back(to.identity);
        const bool fails = now >= at(10s) && now < at(17s) &&
                           to.identity < 100 + settings.failing &&
                           random.below(100) < settings.failing_percent;
        failed[port] += fails ? 1 : 0;
        const bool is_short =
            fails || random.below(100) < settings.short_percent;
        const std::uint32_t usual_bytes =
            port == booking_port ? 831 + number % 22 : 500 + number % 1700;
        packet = {.key = packet.key, .token = to.token, .segment = {1, 1, 200}};
        events.emplace(now + 5ms,
                       [&daemon, packet, this] { daemon.decide(packet, now); });
        packet.segment = {
            201, 1 + (is_short ? settings.error_bytes : usual_bytes), 0};
        packet.finishes = true;
        events.emplace(now + (fails ? 11ms : 55ms),
                       [&daemon, packet, this] { daemon.decide(packet, now); });
    }

    /// Each daemon reports to 16 others of its own data centre and 2 of each
    /// other one.
    void share_reports()
    {
        suspected = 0;
        for (std::uint32_t i = 0; i < 60; ++i)
        {
            const auto reports = daemons[i].evidence().take_outgoing();
            for (std::uint32_t k = 0; k < 20 * reports.size(); ++k)
            {
                const std::uint32_t n = k % 20;
                const std::uint32_t to =
                    i + (n < 16 ? 3 * n + 3 : 3 * n + n % 2 + 1);
                daemons[to % 60].evidence().record_peer(
                    {address(i, 1), reports[k / 20]}, now);
            }
            suspected += daemons[i].failing().suspected_count();
        }
        most_suspected = std::max(most_suspected, suspected);
    }

    play_settings settings;
    std::vector<steerer> daemons;
    std::multimap<instant, std::function<void()>> events;
    random_source random{20261206};
    instant now;
    /// Failed requests by port.
    std::map<std::uint16_t, std::uint32_t> failed;
    /// Identities of the targets chosen, in order.
    std::vector<std::uint64_t> placements;
    /// Suspected targets, summed over the daemons: at the end, and the maximum.
    std::size_t suspected = 0;
    std::size_t most_suspected = 0;
};

} // namespace

TEST_CASE("bookings avoid targets that answer with errors")
{
    // Guards against targets that fail at once, so look idle, and take bookings
    // until each daemon has learned alone that they fail; also if they fail
    // only half of their requests.
    play_settings settings{.failing_percent = GENERATE(100U, 50U)};
    auto without = fleet_play(settings).run().failed;
    settings.judges_answers = true;
    fleet_play with(settings);
    with.run();
    INFO("failed bookings, others: " << with.failed[443] << ", "
                                     << with.failed[444]
                                     << "; without judging answers "
                                     << without[443] << ", " << without[444]);
    CHECK(without[443] > 100);
    CHECK(with.failed[443] * 5 < without[443]);
    CHECK(with.failed[444] * 3 < without[444]);
    CHECK(with.suspected == 0);
}

TEST_CASE("without judging answers, their sizes change no decision")
{
    // Guards against a change of deployments that did not ask for it.
    const bool judges = GENERATE(false, true);
    fleet_play large({.judges_answers = judges, .error_bytes = 900});
    fleet_play small({.judges_answers = judges});
    CHECK((large.run().placements == small.run().placements) == !judges);
}

TEST_CASE("a fleet keeps the targets of a service with short answers")
{
    // Guards against targets lost to peers that report, each once, the short
    // answers that all targets send now and then, or often. At most 2 targets
    // of a daemon may be suspected.
    fleet_play fleet({.judges_answers = true,
                      .failing = 0,
                      .short_percent = GENERATE(1U, 10U)});
    CHECK(fleet.run().most_suspected <= 120);
}

TEST_CASE("each answer of a long flow is judged, and the flow stays")
{
    // Guards against errors that only new flows would show, and against moving
    // open flows.
    fleet_play fleet({.judges_answers = true});
    steerer& daemon = fleet.daemons.front();
    flow_packet packet{.key = {{{1}, 1}, address(1, booking_port)},
                       .opens = true};
    const auto to = std::get<forward>(daemon.decide(packet, at(1s)).decision);
    packet = {.key = packet.key, .token = to.token, .segment = {1, 1, 200}};
    for (std::uint32_t i = 0; i < 60; ++i)
    {
        daemon.decide(packet, at(2s + i * 100ms));
        packet.segment.sequence += 200;
        packet.segment.acknowledged += i < 58 ? 840 : 208;
        CHECK(daemon.failing().suspected_count() == 0);
    }
    CHECK(std::get<forward>(daemon.decide(packet, at(8s)).decision) == to);
    CHECK(daemon.failing().suspected_count() == 1);
    packet = {.key = {{{2}, 1}, address(1, booking_port)}, .opens = true};
    CHECK(daemon.decide(packet, at(8s)).selection->avoided == 1);
}
