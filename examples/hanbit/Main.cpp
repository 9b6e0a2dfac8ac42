#include "common/ExampleDeployment.h"

// Prints the configuration of Hanbit Seismic Testing Division: test records, table bookings and
// recordings in three regions of two failure domains each, with low-bandwidth links.

using namespace sardinehollow;
using namespace std::chrono_literals;

int main()
{
    constexpr std::uint64_t linkBytesPerSecond = 35'000'000; // 280 Mbit/s
    const std::vector<std::string> regions {"gyeonggi", "chungcheong", "gyeongnam"};
    const std::vector<examples::ExampleWork> kinds {
            {"records", "GET", "urgent", 1s, 20, 5, 22000, 4'000},
            {"bookings", "POST", "normal", 10s, 12, 5, 22100, 500},
            {"recordings", "GET", "bulk", 10min, 12, 3, 22200, 200'000'000},
    };
    op::ConfigurationBuilder builder("hanbit", 2s);
    builder.rank({"urgent", 0.0, 200ms}).rank({"normal", 0.3, 2s}).rank({"bulk", 0.1, 60s});
    examples::addRegions(builder, regions, linkBytesPerSecond, 35ms);
    for (const examples::ExampleWork &work : kinds)
        examples::addWork(builder, regions, work);
    return examples::printConfiguration(builder);
}
