#include "sardinehollow_routing/budgets/RateLimitShares.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::routing {

namespace {

// Part of a limit that all daemons share, so that each learns when the limit ends. The rest is for
// a few senders: the more of them there are, the less even is the sum of their requests.
constexpr double commonPart = 1.0 / 6;
// Makes the division among regions independent of the choice of the daemons within them.
constexpr std::uint64_t regionSalt = 0x71c4;

// Scales the values so that their sum is 1.
void normalize(std::map<std::string, double> &values)
{
    double sum = 0;
    for (const auto &[name, value] : values)
        sum += value;
    for (auto &[name, value] : values)
        value = sum > 0 ? value / sum : 0;
}

double valueOf(const std::map<std::string, double> &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

} // namespace

RateLimitShares::RateLimitShares(const std::string &vmName, std::string region)
    : m_region(std::move(region))
    , m_hash(core::stableHash(vmName))
{ }

bool RateLimitShares::update(const EntryDirectory &entries, const BackendRegistry &servers,
                             const std::string &service)
{
    if (entries.changeCount() == m_entryChanges && servers.changeCount() == m_serverChanges)
        return false;
    m_entryChanges = entries.changeCount();
    m_serverChanges = servers.changeCount();
    m_peakDaemonCount = entries.peakDaemonCount();
    m_demand.clear();
    m_regionDaemons.clear();
    for (const auto &[name, daemon] : entries.daemons()) {
        m_demand[daemon.region] += 1;
        if (daemon.region == m_region && entries.isMain(daemon))
            m_regionDaemons.push_back(core::stableHash(name));
    }
    // A daemon without an entry is one that the others do not count on.
    const auto self = std::find(m_regionDaemons.begin(), m_regionDaemons.end(), m_hash);
    if (self == m_regionDaemons.end())
        m_regionDaemons.clear();
    m_capacity.clear();
    for (const BackendStatePtr &server : servers.servers(service)) {
        const BackendServer &entry = server->server();
        if (!entry.isDraining && !servers.isEvacuated(entry.failureDomain))
            m_capacity[server->region()] += entry.slots;
    }
    normalize(m_demand);
    normalize(m_capacity);
    return true;
}

double RateLimitShares::shareOf(const BackendState &server) const
{
    return senderShare(server) * (1 - commonPart)
            + commonPart / static_cast<double>(m_peakDaemonCount);
}

double RateLimitShares::senderShare(const BackendState &server) const
{
    // Each sender may send two requests at once. With no more senders than this, their sum stays
    // near the limit over a few seconds even if all of them do.
    const auto senders = static_cast<std::size_t>(server.rateLimit().requestsPerSecond()) + 1;
    const std::size_t inRegion = sendersInRegion(server, senders);
    const std::uint64_t own = core::combineHashes(server.hash(), m_hash);
    const auto higherRanked = std::count_if(
            m_regionDaemons.begin(), m_regionDaemons.end(),
            [&](std::uint64_t daemon) { return core::combineHashes(server.hash(), daemon) > own; });
    const std::size_t chosen = std::min(inRegion, m_regionDaemons.size());
    if (static_cast<std::size_t>(higherRanked) >= chosen)
        return 0;
    return static_cast<double>(inRegion) / static_cast<double>(senders * chosen);
}

std::size_t RateLimitShares::sendersInRegion(const BackendState &server, std::size_t senders) const
{
    // Systematic sampling: the numbers of the regions add up to that of all senders, and those of
    // many servers to the regions' parts.
    double position = core::hashToUnit(core::combineHashes(server.hash(), regionSalt));
    for (const auto &[region, demand] : m_demand) {
        const double next
                = position + static_cast<double>(senders) * neededPart(server.region(), region);
        if (region == m_region)
            return static_cast<std::size_t>(std::floor(next) - std::floor(position));
        position = next;
    }
    return 0;
}

double RateLimitShares::neededPart(const std::string &serverRegion,
                                   const std::string &callerRegion) const
{
    const double capacity = valueOf(m_capacity, serverRegion);
    const double demand = valueOf(m_demand, serverRegion);
    const double ownPart = capacity > demand ? demand / capacity : 1;
    if (callerRegion == serverRegion)
        return ownPart;
    const auto lackOf = [this](const std::string &region) {
        return std::max(valueOf(m_demand, region) - valueOf(m_capacity, region), 0.0);
    };
    double lack = 0;
    for (const auto &[region, share] : m_demand)
        lack += lackOf(region);
    return lack > 0 ? (1 - ownPart) * lackOf(callerRegion) / lack : 0;
}

} // namespace sardinehollow::routing
