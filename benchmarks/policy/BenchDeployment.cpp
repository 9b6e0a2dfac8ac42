#include "BenchDeployment.h"

namespace sardinehollow::bench {

namespace {

using namespace std::chrono_literals;

struct ServerGroup
{
    std::string prefix;
    std::uint32_t count = 0;
    std::uint32_t slots = 0;
};

// Fraction of the slots that is busy without a surge.
constexpr double normalUtilisation = 0.5;

void addRegions(config::Configuration &configuration, const std::vector<std::string> &regions)
{
    configuration.regions = regions;
    for (const std::string &region : regions) {
        configuration.failureDomains.push_back({region + "-a", region});
        configuration.failureDomains.push_back({region + "-b", region});
    }
}

void addServers(config::Configuration &configuration, const std::vector<ServerGroup> &groups)
{
    config::BackendPool pool;
    pool.name = "main";
    pool.connectionLimit = 400;
    for (const ServerGroup &group : groups) {
        for (std::uint32_t index = 0; index < group.count; ++index) {
            const std::string name = group.prefix + "-" + std::to_string(index + 1);
            const auto &domains = configuration.failureDomains;
            pool.backendServers.push_back(
                    {name, name, domains[index % domains.size()].name, group.slots});
        }
    }
    configuration.pools.push_back(pool);
}

void addKind(BenchDeployment &deployment, const std::string &name, core::Duration serviceTime,
             std::chrono::milliseconds deadline, bool idempotent, const ServerGroup &group)
{
    config::WorkKind kind;
    kind.name = name;
    kind.rank = deployment.configuration.ranks[deployment.kinds.size()].name;
    kind.pool = "main";
    kind.idempotent = idempotent;
    kind.defaultDeadline = deadline;
    kind.queueLimit = 2000;
    deployment.configuration.workKinds.push_back(kind);
    const std::uint32_t slots = group.count * group.slots;
    const double seconds = std::chrono::duration<double>(serviceTime).count();
    deployment.kinds.push_back({name, serviceTime, normalUtilisation * slots / seconds, slots});
}

BenchDeployment makeDeployment(const std::string &name, const std::vector<std::string> &regions,
                               const std::vector<std::string> &kinds,
                               const std::vector<ServerGroup> &groups)
{
    BenchDeployment deployment;
    deployment.name = name;
    config::Configuration &configuration = deployment.configuration;
    configuration.generation = 1;
    configuration.deployment = name;
    configuration.answerLifetime = 2s;
    configuration.ranks = {{"urgent", 0.0, 200ms}, {"middle", 0.2, 2s}, {"bulk", 0.1, 60s}};
    addRegions(configuration, regions);
    addServers(configuration, groups);
    addKind(deployment, kinds[0], 20ms, 1s, true, groups[0]);
    addKind(deployment, kinds[1], 60ms, 5s, false, groups[1]);
    addKind(deployment, kinds[2], 400ms, 60s, true, groups[2]);
    return deployment;
}

} // namespace

std::uint32_t BenchDeployment::totalSlots() const
{
    std::uint32_t slots = 0;
    for (const Kind &kind : kinds)
        slots += kind.dedicatedSlots;
    return slots;
}

BenchDeployment makeLakeshore()
{
    BenchDeployment deployment
            = makeDeployment("lakeshore", {"erie", "michigan", "superior"},
                             {"stop-times", "service-changes", "archives"},
                             {{"lookup", 20, 6}, {"posting", 12, 5}, {"archive", 12, 3}});
    deployment.domainLatency = 1ms;
    deployment.regionLatency = 35ms;
    deployment.clientLatency = 3ms;
    return deployment;
}

BenchDeployment makeHanbit()
{
    BenchDeployment deployment
            = makeDeployment("hanbit", {"gyeonggi", "chungcheong", "gyeongnam"},
                             {"test-records", "bookings", "recordings"},
                             {{"lookup", 20, 5}, {"booking", 12, 5}, {"recording", 12, 3}});
    deployment.domainLatency = 500us;
    deployment.regionLatency = 35ms;
    deployment.clientLatency = 1ms;
    return deployment;
}

} // namespace sardinehollow::bench
