#include "common/ExampleDeployment.h"

// Prints the configuration of Lakeshore Schedule Exchange: stop times, service changes and schedule
// archives in three regions of two failure domains each.

using namespace sardinehollow;
using namespace std::chrono_literals;

int main()
{
    constexpr std::uint64_t linkBytesPerSecond = 500'000'000; // 4 Gbit/s
    const std::vector<std::string> regions {"erie", "michigan", "superior"};
    const std::vector<examples::ExampleWork> kinds {
            {"stop-times", "GET", "urgent", 1s, 20, 6, 21000, 2'000},
            {"service-changes", "POST", "normal", 10s, 12, 5, 21100, 500},
            {"archives", "GET", "bulk", 10min, 12, 3, 21200, 50'000'000},
    };
    op::ConfigurationBuilder builder("lakeshore", 2s);
    builder.rank({"urgent", 0.0, 200ms}).rank({"normal", 0.2, 2s}).rank({"bulk", 0.1, 60s});
    examples::addRegions(builder, regions, linkBytesPerSecond, 35ms);
    for (const examples::ExampleWork &work : kinds)
        examples::addWork(builder, regions, work);
    return examples::printConfiguration(builder);
}
