#include "sardinehollow_routing/selection/EvenLoad.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace sardinehollow::routing {

namespace {

// Load up to which a server takes the requests of its objects, relative to the mean, and the load
// per slot by which it may exceed this; docs/design/even-load.md compares values.
constexpr double relativeBound = 1.25;
constexpr double boundAllowance = 1.0 / 3;
// Load per slot by which another server must have less, since a run without a cached object
// takes 3.3 times as long. Where slots are scarce, the 2.3 runs that this costs delay others: from
// the busy load per slot on, the difference grows by about as much.
constexpr double minimumDifference = 2.0 / 3;
constexpr double busyLoad = 0.6;
constexpr double differenceGrowth = 2.4;
// A server is slow if its requests run longer than the mean of all servers by this factor; cached
// and other runs differ as well. The average of a server without responses fades.
constexpr double slowFactor = 1.5;
constexpr double maximumFactor = 3;
constexpr double slownessFadeSeconds = 5;
// Loads per slot of the failure domain with the highest load below which servers of the own domain
// are preferred, and above which they no longer are. Each change costs a run without cached object
// for many objects.
constexpr double lowLoad = 0.3;
constexpr double highLoad = 0.5;
constexpr core::Duration loadAveragingTime = std::chrono::seconds(3);
// Time after which an average that begins at 0 is within 4 in 100 of the load.
constexpr core::Duration settlingTime = std::chrono::seconds(10);

/** Mean values of servers. */
struct Means
{
    double loadPerSlot = 0;
    /** Of the servers that have responded to this daemon; 0 if none has. */
    double serviceSeconds = 0;
};

double serviceSeconds(const BackendState &server)
{
    return std::chrono::duration<double>(server.serviceTime()).count();
}

Means meansOf(const EvenLoad::Servers &servers, core::Instant now)
{
    double load = 0;
    double slots = 0;
    double seconds = 0;
    double responding = 0;
    for (const BackendState *server : servers) {
        load += server->predictedLoad(now);
        slots += server->server().slots;
        if (server->lastResponseAt().count() == 0)
            continue;
        seconds += serviceSeconds(*server);
        responding += 1;
    }
    return {load / slots, responding > 0 ? seconds / responding : 0};
}

/** How much longer requests run at the server than at the others; 1 if it is not slow. */
double slowness(const BackendState &server, const Means &means, core::Instant now)
{
    if (means.serviceSeconds <= 0 || server.lastResponseAt().count() == 0)
        return 1;
    const double factor = serviceSeconds(server) / means.serviceSeconds;
    if (factor < slowFactor)
        return 1;
    const double age = std::chrono::duration<double>(now - server.lastResponseAt()).count();
    return 1 + (std::min(factor, maximumFactor) - 1) * std::exp(-age / slownessFadeSeconds);
}

/** The load that a request sent to the server finds, in requests of a server that is not slow. */
double effectiveLoad(const BackendState &server, const Means &means, core::Instant now)
{
    return (server.predictedLoad(now) + 1) * slowness(server, means, now) - 1;
}

} // namespace

EvenLoad::EvenLoad(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{ }

void EvenLoad::update(const Servers &region, core::Instant now)
{
    std::map<std::string, Servers> domains;
    for (const BackendState *server : region)
        domains[server->server().failureDomain].push_back(server);
    double highest = 0;
    for (const auto &[domain, servers] : domains)
        highest = std::max(highest, meansOf(servers, now).loadPerSlot);
    if (m_firstAt.count() == 0)
        m_firstAt = now;
    m_highestLoad.set(highest, now, loadAveragingTime);
    if (now - m_firstAt < settlingTime)
        return;
    const double load = m_highestLoad.average(now, loadAveragingTime);
    m_prefersOwnDomain = load < (m_prefersOwnDomain ? highLoad : lowLoad);
}

EvenLoad::Choice EvenLoad::choose(const Servers &ranked, const Route &route,
                                  core::Instant now) const
{
    const Means means = meansOf(ranked, now);
    const std::vector<std::size_t> indices = homes(ranked, route);
    const auto loadOf
            = [&](std::size_t index) { return effectiveLoad(*ranked[index], means, now); };
    const auto isLess
            = [&](std::size_t first, std::size_t second) { return loadOf(first) < loadOf(second); };
    // Without cached objects, another server costs nothing.
    if (!route.hasAffinity)
        return {*std::min_element(indices.begin(), indices.end(), isLess), means.loadPerSlot};
    const std::size_t first = indices.front();
    const double firstLoad = loadOf(first);
    const double slots = ranked[first]->server().slots;
    const double bound = (relativeBound * means.loadPerSlot + boundAllowance) * slots;
    if (firstLoad <= bound)
        return {first, means.loadPerSlot};
    const double difference
            = minimumDifference + differenceGrowth * std::max(0.0, means.loadPerSlot - busyLoad);
    const double highestLoad = firstLoad - difference * slots;
    const auto isBelowBound
            = [&](std::size_t index) { return loadOf(index) <= std::min(bound, highestLoad); };
    auto chosen = std::find_if(indices.begin(), indices.end(), isBelowBound);
    if (chosen == indices.end())
        chosen = std::min_element(indices.begin(), indices.end(), isLess);
    return {loadOf(*chosen) <= highestLoad ? *chosen : first, means.loadPerSlot};
}

std::vector<std::size_t> EvenLoad::homes(const Servers &ranked, const Route &route) const
{
    std::vector<std::size_t> indices(std::min(homeCount, ranked.size()));
    std::iota(indices.begin(), indices.end(), std::size_t {0});
    // Otherwise each failure domain would cache the objects on servers of its own.
    const bool mayPrefer = !route.hasAffinity || route.hasLargeResponses;
    if (mayPrefer && m_prefersOwnDomain)
        std::stable_partition(indices.begin(), indices.end(), [&](std::size_t index) {
            return ranked[index]->server().failureDomain == m_failureDomain;
        });
    return indices;
}

} // namespace sardinehollow::routing
