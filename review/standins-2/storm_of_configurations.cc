// Rule DRAIN. Configurations of 1 MB come in quick succession over links of
// 10 Mbit/s while targets drain. See review/8/claim.txt.

#include <algorithm>
#include <iostream>

#include "site.h"

namespace
{

using namespace review;

/// Like grown/exlibris-centrala-grown.toml, with its bounds and the slowest of
/// its links.
site_settings grown_deployment()
{
    site_settings settings = small_deployment();
    settings.stability = 5000ms;
    settings.drain = 5000ms;
    settings.apply = 5000ms;
    settings.evacuation = 5000ms;
    settings.link_bytes_per_second = 10'000'000 / 8;
    settings.contracts = {"base",   "drain", "config", "cost",    "recover",
                          "health", "flows", "places", "platform"};
    return settings;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const site_settings settings = grown_deployment();
        site deployment(settings, argc > 1 ? argv[1] : "record.txt");
        // `big_config`, 1,400 routes each in the site file.
        constexpr unsigned routes = 4 * 1400 + 700;
        constexpr std::size_t max_bytes = 1'048'576;
        std::size_t largest = 0;
        const auto publish = [&](unsigned count)
        {
            largest =
                std::max(largest, deployment.publish_configuration(count));
        };
        const auto targets = deployment.targets_of("platefiles");
        std::size_t next = 0;
        if (trouble())
        {
            for (unsigned i = 1; i <= 5; ++i)
            {
                deployment.at(4s + i * 2s,
                              [&, i] { publish(std::min(i * 1400, routes)); });
            }
        }
        for (const milliseconds begin : {24000ms, 46000ms, 68000ms})
        {
            // `config_storm`, twice in a row, for 4 s each: a change each
            // 0.45 s.
            for (milliseconds at = 0ms; trouble() && at < 8000ms; at += 450ms)
            {
                deployment.at(begin + at, [&] { publish(routes); });
            }
            // `scale_in`, twice, 2 of 18 targets each.
            for (const milliseconds leave : {1000ms, 2000ms, 3000ms, 4000ms})
            {
                deployment.at(begin + leave,
                              [&] { deployment.drain(targets[next++]); });
            }
        }
        if (!deployment.run(92s) || largest > max_bytes)
        {
            std::cerr << "the deployment did not serve\n";
            return 2;
        }
        std::ptrdiff_t late = 0;
        milliseconds latest{};
        for (const arrival& each : deployment.arrivals())
        {
            for (const absence& gone : deployment.absences())
            {
                if (gone.target == each.target &&
                    each.at > gone.from + settings.drain &&
                    deployment.in_touch(each.daemon, each.at))
                {
                    ++late;
                    latest = std::max(latest, each.at - gone.from);
                }
            }
        }
        const std::string result =
            "DRAIN: " + std::to_string(late) +
            " opening packets of machines in touch reached a target later than "
            "5000 ms after it said that it drains, the last one after " +
            std::to_string(latest.count()) + " ms";
        deployment.record(result);
        std::cout << result << '\n';
        return late > 0 ? 1 : 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
