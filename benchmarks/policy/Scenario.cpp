#include "Scenario.h"

namespace sardinehollow::bench {

namespace {

using namespace std::chrono_literals;

constexpr core::Instant surgeStart = 8s;

Scenario makeScenario(const std::string &name)
{
    Scenario scenario;
    scenario.name = name;
    return scenario;
}

void addSurges(std::vector<Scenario> &scenarios)
{
    const std::array<std::string, 3> ranks {"urgent", "middle", "bulk"};
    for (std::size_t kind = 0; kind < ranks.size(); ++kind) {
        for (const int factor : {2, 5, 10}) {
            Scenario scenario
                    = makeScenario("surge-" + ranks[kind] + "-" + std::to_string(factor) + "x");
            scenario.surges.push_back({surgeStart, 16s, kind, static_cast<double>(factor)});
            scenarios.push_back(scenario);
        }
    }
    Scenario both = makeScenario("surge-urgent-then-bulk");
    both.surges = {{surgeStart, 12s, 0, 10.0}, {12s, 16s, 2, 10.0}};
    scenarios.push_back(both);
}

} // namespace

std::vector<Scenario> makeScenarios()
{
    std::vector<Scenario> scenarios {makeScenario("normal")};
    addSurges(scenarios);
    const auto add = [&scenarios](const std::string &name, auto change) {
        Scenario scenario = makeScenario(name);
        change(scenario);
        scenarios.push_back(scenario);
    };
    add("region-loss", [](Scenario &scenario) { scenario.loseRegion = true; });
    add("region-drain", [](Scenario &scenario) { scenario.drainRegion = true; });
    add("reports-lag", [](Scenario &scenario) { scenario.reportLag = 1500ms; });
    add("reports-lie", [](Scenario &scenario) { scenario.falseReports = true; });
    add("faulty-servers", [](Scenario &scenario) {
        scenario.faultyServers = true;
        scenario.lostResponses = 0.002;
    });
    add("rolling-leave", [](Scenario &scenario) { scenario.rollingLeave = true; });
    add("daemon-loss", [](Scenario &scenario) { scenario.loseDaemon = true; });
    add("daemon-pause", [](Scenario &scenario) { scenario.pause = 4s; });
    add("crashing-request", [](Scenario &scenario) { scenario.crashingRequest = true; });
    add("surge-urgent-10x-and-daemon-loss", [](Scenario &scenario) {
        scenario.loseDaemon = true;
        scenario.surges.push_back({surgeStart, 16s, 0, 10.0});
    });
    add("surge-bulk-10x-and-reports-lie", [](Scenario &scenario) {
        scenario.falseReports = true;
        scenario.surges.push_back({surgeStart, 16s, 2, 10.0});
    });
    return scenarios;
}

} // namespace sardinehollow::bench
