#include <iostream>
#include <map>
#include <string>

#include "Benchmarks/Bench.h"

int main(int argc, char **argv)
{
    using namespace basilgap::benchmarks;
    const std::map<std::string, void (*)()> benches = {
        { "log", benchLog },
        { "config", benchConfig },
        { "failover", benchFailover },
        { "placement", benchPlacement },
        { "step-plan", benchStepPlan },
        { "account-shares", benchAccountShares },
        { "fairness", benchFairness },
        { "entry", benchEntry },
        { "overload", benchOverload },
        { "zone", benchZone },
        { "waiting", benchWaiting },
        { "control-cost", benchControlCost },
        { "forecast", benchForecast },
    };
    const std::string name = argc > 1 ? argv[1] : "list";
    if (name == "list") {
        for (const auto &[knownName, run] : benches)
            std::cout << knownName << '\n';
        return 0;
    }
    const auto found = benches.find(name);
    if (found == benches.end()) {
        std::cerr << "no benchmark " << name << "; see: bench list\n";
        return 2;
    }
    found->second();
    return 0;
}
