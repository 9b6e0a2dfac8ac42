#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_policy/lookup/CallerHash.h"
#include "sardinehollow_policy/lookup/ClientBlockChanges.h"
#include "sardinehollow_policy/lookup/ClientBlockTable.h"
#include "sardinehollow_policy/lookup/LookupPlanner.h"
#include "sardinehollow_policy/shift/CapEnforcer.h"
#include "sardinehollow_policy/shift/LocalPermits.h"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace {

using namespace sardinehollow;
using namespace std::chrono_literals;

using Blocks = std::vector<config::ClientBlock>;

constexpr std::uint32_t blockCount = 1'100'000;
constexpr std::uint32_t siteCount = 150;

core::IpAddress address(std::uint64_t high, std::uint64_t low)
{
    std::array<std::uint8_t, 16> bytes {};
    for (std::size_t index = 0; index < 8; ++index) {
        bytes[index] = static_cast<std::uint8_t>(high >> (56U - 8U * index));
        bytes[8 + index] = static_cast<std::uint8_t>(low >> (56U - 8U * index));
    }
    return core::IpAddress(bytes);
}

core::IpAddress ipv4(std::uint32_t value)
{
    return address(0, 0xffff'0000'0000ULL | value);
}

enum Shape : std::int64_t {
    /** Adjacent IPv4 /24 blocks. */
    Adjacent,
    /** One /1 block whose lower half is full of /25 blocks; callers are in the upper half. */
    Nested,
    /** As Nested, with every second /25 left out, so that the number of ranges doubles. */
    Gaps,
    /** IPv6 /48 blocks with gaps, similar to assigned address space. */
    Ipv6,
};

Blocks makeBlocks(std::int64_t shape)
{
    Blocks blocks;
    if (shape == Nested || shape == Gaps)
        blocks.push_back({{ipv4(0), 97}, 149});
    for (std::uint32_t index = 0; blocks.size() < blockCount; ++index) {
        const std::uint32_t site = index % (siteCount - 1);
        if (shape == Adjacent)
            blocks.push_back({{ipv4(index << 8U), 120}, site});
        else if (shape == Nested)
            blocks.push_back({{ipv4(index << 7U), 121}, site});
        else if (shape == Gaps)
            blocks.push_back({{ipv4(index << 8U), 121}, site});
        else
            blocks.push_back(
                    {{address((0x2001'0000ULL << 32U) + (std::uint64_t {index} << 20U), 0), 48},
                     site});
    }
    return blocks;
}

std::vector<core::IpAddress> makeCallers(std::int64_t shape, const Blocks &blocks)
{
    core::SeededRandom random(1);
    std::vector<core::IpAddress> callers;
    for (int index = 0; index < 65536; ++index) {
        const auto value = static_cast<std::uint32_t>(random.next());
        if (shape == Nested)
            callers.push_back(ipv4((value & 0x3fff'ffffU) | 0x4000'0000U));
        else if (shape == Ipv6)
            callers.push_back(blocks[value % blocks.size()].prefix.address);
        else
            callers.push_back(ipv4(value % (blockCount << 8U)));
    }
    return callers;
}

void lookUpBlock(benchmark::State &state)
{
    const Blocks blocks = makeBlocks(state.range(0));
    const policy::ClientBlockTable table(blocks);
    const std::vector<core::IpAddress> callers = makeCallers(state.range(0), blocks);
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(table.site(callers[next++ % callers.size()]));
    state.counters["MB"] = static_cast<double>(table.memoryBytes()) / 1e6;
}

void rebuildTable(benchmark::State &state)
{
    const Blocks blocks = makeBlocks(state.range(0));
    for (auto _ : state)
        benchmark::DoNotOptimize(policy::ClientBlockTable(blocks));
}

// Changes the sites of the given number of blocks, spread over the whole table.
Blocks withChangedSites(Blocks blocks, std::int64_t count)
{
    for (std::int64_t index = 0; index < count; ++index) {
        config::ClientBlock &block = blocks[static_cast<std::size_t>(index * (blockCount / count))];
        block.site = (block.site + 1) % siteCount;
    }
    return blocks;
}

void findChanges(benchmark::State &state)
{
    const Blocks before = makeBlocks(Gaps);
    const Blocks after = withChangedSites(before, 10);
    for (auto _ : state)
        benchmark::DoNotOptimize(policy::clientBlockChanges(before, after));
}

void changeTable(benchmark::State &state)
{
    const Blocks before = makeBlocks(Gaps);
    const policy::ClientBlockTable table(before);
    const Blocks after = withChangedSites(before, state.range(0));
    const auto changes = policy::clientBlockChanges(before, after);
    for (auto _ : state)
        benchmark::DoNotOptimize(table.withChanges(after, *changes));
}

struct Deployment
{
    std::shared_ptr<config::Configuration> configuration
            = std::make_shared<config::Configuration>();
    policy::PeerView peers;
};

// The largest deployment of the design: 27 regions, 95 failure domains, 150 sites, 1,200 daemons.
Deployment makeDeployment()
{
    Deployment result;
    config::Configuration &configuration = *result.configuration;
    for (int index = 0; index < 27; ++index)
        configuration.regions.push_back("region-" + std::to_string(index));
    for (std::size_t first = 0; first < 27; ++first) {
        for (std::size_t second = first + 1; second < 27; ++second)
            configuration.links.push_back({configuration.regions[first],
                                           configuration.regions[second], 1000000,
                                           std::chrono::microseconds(1000 * (second - first))});
    }
    for (std::size_t index = 0; index < 95; ++index)
        configuration.failureDomains.push_back(
                {"failure-domain-" + std::to_string(index), configuration.regions[index % 27]});
    for (std::size_t index = 0; index < siteCount; ++index)
        configuration.sites.push_back({"site-" + std::to_string(index),
                                       {configuration.failureDomains[index % 95].name,
                                        configuration.failureDomains[(index + 27) % 95].name}});
    configuration.shifts.push_back(
            {"move", "region-0", {}, 0.5, 0.1, 10s, {{"failure-domain-5", 1000}}});
    for (std::size_t index = 0; index < 1200; ++index) {
        const config::FailureDomain &domain = configuration.failureDomains[index % 95];
        result.peers.peers.push_back({"vm-" + std::to_string(index), 1, domain.region, domain.name,
                                      "10.0.0.1:8080", "10.0.0.1:8081", false, 0.3, "scope"});
    }
    return result;
}

void makePlanner(benchmark::State &state)
{
    const Deployment deployment = makeDeployment();
    for (auto _ : state)
        benchmark::DoNotOptimize(
                policy::LookupPlanner(deployment.configuration, deployment.peers, {{"move", 0.5}}));
}

void planLookUp(benchmark::State &state)
{
    const Deployment deployment = makeDeployment();
    const policy::LookupPlanner planner(deployment.configuration, deployment.peers,
                                        {{"move", 0.5}});
    std::uint32_t caller = 0;
    for (auto _ : state) {
        ++caller;
        benchmark::DoNotOptimize(
                planner.plan("kind", policy::callerHash(ipv4(caller)), caller % siteCount));
    }
}

// Simulates, in virtual time, daemons with more shifted requests than the cap allows. Reports the
// fraction of the cap that is used.
void useCap(benchmark::State &state)
{
    constexpr std::uint32_t cap = 1000;
    constexpr core::Duration step = 5ms;
    constexpr core::Duration latency = 1ms;
    const auto daemons = static_cast<std::size_t>(state.range(0));
    double admitted = 0;
    double seconds = 0;
    for (auto _ : state) {
        policy::CapEnforcer enforcer({"shift", 1}, 0s);
        enforcer.setCap(cap, 1, 0s);
        std::vector<policy::LocalPermits> localPermits;
        for (std::size_t index = 0; index < daemons; ++index)
            localPermits.emplace_back(
                    policy::LocalPermitsSettings {"shift", {std::to_string(index), 1}});
        std::vector<std::optional<policy::PermitGrant>> inFlight(daemons);
        for (core::Instant now = 0s; now < 20s; now += step) {
            for (std::size_t index = 0; index < daemons; ++index) {
                if (inFlight[index])
                    localPermits[index].onGrant(*inFlight[index], now);
                inFlight[index].reset();
                while (localPermits[index].usePermit(now))
                    admitted += now >= 5s;
                if (const auto request = localPermits[index].nextRequest(100, 1, now))
                    inFlight[index] = enforcer.onRequest(*request, now + latency);
            }
        }
        seconds += 15;
    }
    state.counters["share_of_cap"] = admitted / seconds / cap;
}

BENCHMARK(lookUpBlock)->Arg(Adjacent)->Arg(Nested)->Arg(Gaps)->Arg(Ipv6);
BENCHMARK(rebuildTable)->Arg(Gaps)->Arg(Ipv6)->Unit(benchmark::kMillisecond);
BENCHMARK(findChanges)->Unit(benchmark::kMillisecond);
BENCHMARK(changeTable)->Arg(1)->Arg(10)->Arg(100)->Unit(benchmark::kMillisecond);
BENCHMARK(makePlanner)->Unit(benchmark::kMillisecond);
BENCHMARK(planLookUp);
BENCHMARK(useCap)->Arg(2)->Arg(12)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
