// Rule DRAIN. The entries of three of a service's four targets expire at once.
// See review/7/claim.txt.

#include <algorithm>
#include <iostream>
#include <set>

#include "site.h"

int main(int argc, char** argv)
{
    using namespace review;
    try
    {
        site_settings settings = small_deployment();
        // "may be seconds old" (PROTOCOL.md)
        settings.replica_age = 2000ms;
        site deployment(settings, argc > 1 ? argv[1] : "record.txt");
        const auto orders = deployment.targets_of("orderdesk");
        const std::set<unsigned> cut(orders.begin(), orders.begin() + 3);
        constexpr milliseconds last_round = 76s;
        if (trouble())
        {
            // The lateness depends on when the removal falls between two reads
            // of the store, so it is tried five times.
            for (const auto begin : {12s, 28s, 44s, 60s, 76s})
            {
                deployment.at(begin,
                              [&]
                              {
                                  for (const unsigned each : cut)
                                  {
                                      deployment.cut_from_store(each, true);
                                  }
                              });
                if (begin < last_round)
                {
                    deployment.at(begin + 10s,
                                  [&]
                                  {
                                      for (const unsigned each : cut)
                                      {
                                          deployment.cut_from_store(each,
                                                                    false);
                                      }
                                  });
                }
            }
            // The last time the targets crash, one after the other, when they
            // should have got no new flow for half a second.
            deployment.at(last_round + 5s,
                          [&]
                          {
                              milliseconds delay = drain_bound + 500ms;
                              for (const absence& gone : deployment.absences())
                              {
                                  if (gone.from > last_round)
                                  {
                                      deployment.at(
                                          gone.from + delay,
                                          [&deployment, target = gone.target]
                                          { deployment.crash_target(target); });
                                      delay += 100ms;
                                  }
                              }
                          });
        }
        if (!deployment.run(94s))
        {
            std::cerr << "the deployment did not serve\n";
            return 2;
        }
        unsigned late = 0;
        milliseconds latest{};
        for (const arrival& each : deployment.arrivals())
        {
            for (const absence& gone : deployment.absences())
            {
                if (gone.target == each.target && each.at < gone.until &&
                    each.at > gone.from + drain_bound &&
                    deployment.in_touch(each.daemon, each.at))
                {
                    ++late;
                    latest = std::max(latest, each.at - gone.from);
                }
            }
        }
        const auto lost = std::ranges::count_if(
            deployment.lost_requests(),
            [&](const lost_request& each)
            {
                return std::ranges::any_of(
                    deployment.absences(),
                    [&](const absence& gone)
                    {
                        return gone.target == each.target &&
                               each.opened < gone.until &&
                               each.opened > gone.from + drain_bound;
                    });
            });
        const std::string result =
            "DRAIN: " + std::to_string(late) +
            " opening packets of machines in touch reached a target later than "
            "3000 ms after it was gone, the last one after " +
            std::to_string(latest.count()) + " ms; " + std::to_string(lost) +
            " requests of such flows were accepted and lost";
        deployment.record(result);
        std::cout << result << '\n';
        if (trouble() && deployment.absences().size() < cut.size())
        {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
