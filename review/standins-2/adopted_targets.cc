// Rule DRAIN. The store turns two daemons away while the entries of three
// targets expire. See review/6/claim.txt.

#include <iostream>
#include <set>

#include "site.h"

int main(int argc, char** argv)
{
    using namespace review;
    try
    {
        site deployment(small_deployment(), argc > 1 ? argv[1] : "record.txt");
        const auto plates = deployment.targets_of("platefiles");
        const std::set<unsigned> cut(plates.begin(), plates.begin() + 3);
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
            deployment.at(24500ms,
                          [&]
                          {
                              for (const unsigned each : cut)
                              {
                                  deployment.cut_from_store(each, false);
                              }
                          });
        }
        if (!deployment.run(30s))
        {
            std::cerr << "the deployment did not serve\n";
            return 2;
        }
        unsigned late = 0;
        for (const arrival& each : deployment.arrivals())
        {
            for (const absence& gone : deployment.absences())
            {
                if (gone.target == each.target && each.at < gone.until &&
                    each.at > gone.from + drain_bound &&
                    deployment.in_touch(each.daemon, each.at))
                {
                    ++late;
                }
            }
        }
        deployment.record("DRAIN: " + std::to_string(late) +
                          " opening packets of machines in touch reached a "
                          "target later than 3000 ms after it was gone");
        std::cout << "DRAIN: " << late << " late opening packets; absences "
                  << deployment.absences().size() << '\n';
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
