// Rule DRAIN. The store turns two daemons away while the entries of three
// targets expire. See review/6/claim.txt.

#include <algorithm>
#include <iostream>
#include <set>

#include "site.h"

int main(int argc, char** argv)
{
    using namespace review;
    try
    {
        site deployment(small_deployment(), argc > 1 ? argv[1] : "record.txt");
        const auto orders = deployment.targets_of("orderdesk");
        const std::set<unsigned> cut(orders.begin(), orders.begin() + 3);
        const std::vector<unsigned> denied{3, 5};
        if (trouble())
        {
            deployment.at(12s,
                          [&]
                          {
                              for (const unsigned each : denied)
                              {
                                  deployment.deny_store(each, true);
                              }
                          });
            deployment.at(12500ms,
                          [&]
                          {
                              for (const unsigned each : cut)
                              {
                                  deployment.cut_from_store(each, true);
                              }
                          });
            deployment.at(18s,
                          [&]
                          {
                              for (const unsigned each : denied)
                              {
                                  deployment.deny_store(each, false);
                              }
                          });
            // The platform has seen no sign of them for 8 s and more.
            milliseconds end = 24000ms;
            for (const unsigned each : cut)
            {
                deployment.at(end, [&deployment, each]
                              { deployment.crash_target(each); });
                end += 300ms;
            }
        }
        if (!deployment.run(30s))
        {
            std::cerr << "the deployment did not serve\n";
            return 2;
        }
        const auto is_late = [&](unsigned target, milliseconds opened)
        {
            return std::ranges::any_of(deployment.absences(),
                                       [&](const absence& gone)
                                       {
                                           return gone.target == target &&
                                                  opened < gone.until &&
                                                  opened >
                                                      gone.from + drain_bound;
                                       });
        };
        const auto late = std::ranges::count_if(
            deployment.arrivals(),
            [&](const arrival& each)
            {
                return is_late(each.target, each.at) &&
                       deployment.in_touch(each.daemon, each.at);
            });
        const auto lost = std::ranges::count_if(
            deployment.lost_requests(), [&](const lost_request& each)
            { return is_late(each.target, each.opened); });
        const std::string result =
            "DRAIN: " + std::to_string(late) +
            " opening packets of machines in touch reached a target later than "
            "3000 ms after it was gone; " +
            std::to_string(lost) +
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
