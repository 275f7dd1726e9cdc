// Rule DRAIN. The entries of three of a service's four targets expire at once.
// See review/7/claim.txt.

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
        const auto plates = deployment.targets_of("platefiles");
        const std::set<unsigned> cut(plates.begin(), plates.begin() + 3);
        if (trouble())
        {
            // The lateness depends on when the removal falls between two reads
            // of the store, so it is tried five times.
            for (const auto begin : {12s, 28s, 44s, 60s, 76s})
            {
                for (const bool cut_now : {true, false})
                {
                    deployment.at(begin + (cut_now ? 0s : 10s),
                                  [&deployment, &cut, cut_now]
                                  {
                                      for (const unsigned each : cut)
                                      {
                                          deployment.cut_from_store(each,
                                                                    cut_now);
                                      }
                                  });
                }
            }
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
        const std::string result =
            "DRAIN: " + std::to_string(late) +
            " opening packets of machines in touch reached a target later than "
            "3000 ms after it was gone, the last one after " +
            std::to_string(latest.count()) + " ms";
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
