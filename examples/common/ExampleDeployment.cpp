#include "common/ExampleDeployment.h"

#include <iostream>

namespace sardinehollow::examples {

namespace {

constexpr std::uint32_t connectionLimit = 400;
constexpr std::uint64_t maximumRequestBytes = 1 << 20U;
constexpr std::uint32_t queueLimit = 200;
constexpr int invalidConfigurationExitCode = 3;

std::vector<std::string> failureDomainsOf(const std::string &region)
{
    return {region + "-a", region + "-b"};
}

config::Site makeSite(const std::vector<std::string> &regions, std::size_t homeIndex)
{
    config::Site site {regions[homeIndex], failureDomainsOf(regions[homeIndex])};
    for (std::size_t step = 1; step < regions.size(); ++step)
        site.failureDomains.push_back(regions[(homeIndex + step) % regions.size()] + "-a");
    return site;
}

} // namespace

void addRegions(op::ConfigurationBuilder &builder, const std::vector<std::string> &regions,
                std::uint64_t linkBytesPerSecond, std::chrono::microseconds oneWayLatency)
{
    for (const std::string &region : regions)
        builder.region(region, failureDomainsOf(region));
    for (std::size_t first = 0; first < regions.size(); ++first) {
        for (std::size_t second = first + 1; second < regions.size(); ++second)
            builder.link({regions[first], regions[second], linkBytesPerSecond, oneWayLatency});
    }
    for (std::size_t index = 0; index < regions.size(); ++index) {
        builder.site(makeSite(regions, index));
        builder.clientBlock("10." + std::to_string(index + 1) + ".0.0/16", regions[index]);
    }
    builder.clientBlock("0.0.0.0/0", regions.front());
    builder.clientBlock("::/0", regions.back());
}

void addWork(op::ConfigurationBuilder &builder, const std::vector<std::string> &regions,
             const ExampleWork &work)
{
    std::vector<std::string> failureDomains;
    for (const std::string &region : regions) {
        for (const std::string &failureDomain : failureDomainsOf(region))
            failureDomains.push_back(failureDomain);
    }
    config::BackendPool pool {work.name, connectionLimit, {}};
    for (int index = 0; index < work.backendServerCount; ++index) {
        pool.backendServers.push_back(
                {work.name + "-" + std::to_string(index + 1),
                 "127.0.0.1:" + std::to_string(work.firstPort + index),
                 failureDomains[static_cast<std::size_t>(index) % failureDomains.size()],
                 work.slots});
    }
    config::WorkKind kind;
    kind.name = work.name;
    kind.pathPrefix = "/" + work.name;
    kind.methods = {work.method};
    kind.rank = work.rank;
    kind.pool = work.name;
    kind.idempotent = work.method != "POST";
    kind.defaultDeadline = work.deadline;
    kind.maxRequestBytes = maximumRequestBytes;
    kind.queueLimit = queueLimit;
    kind.typicalResponseBytes = work.typicalResponseBytes;
    kind.claimRetention = std::chrono::hours(24);
    builder.pool(std::move(pool)).workKind(std::move(kind));
}

int printConfiguration(const op::ConfigurationBuilder &builder)
{
    const auto text = builder.print();
    if (!text) {
        std::cerr << config::toText(text.error());
        return invalidConfigurationExitCode;
    }
    std::cout << *text;
    return 0;
}

} // namespace sardinehollow::examples
