#pragma once

#include "sardinehollow_routing/backends/BackendRegistry.h"
#include "sardinehollow_routing/entries/EntryDirectory.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * Divides the request limits of a service's servers among the daemons of the deployment. Daemons
 * with the same view of daemons and servers come to the same result. Not safe for concurrent use.
 */
class RateLimitShares
{
public:
    /** The name and region of this daemon. */
    RateLimitShares(const std::string &vmName, std::string region);

    /** Takes over the known daemons and servers; returns whether any have changed since. */
    bool update(const EntryDirectory &entries, const BackendRegistry &servers,
                const std::string &service);
    /** Returns this daemon's share of a server's limit; above 0, at most 1. */
    double shareOf(const BackendState &server) const;

private:
    /** Returns the part of a server's limit that is for this daemon alone; 0 if it is for others.
     */
    double senderShare(const BackendState &server) const;
    /** Returns how many of a server's senders are in this daemon's region. */
    std::size_t sendersInRegion(const BackendState &server, std::size_t senders) const;
    /** Returns the part of a region's servers that a region's callers need; 0 to 1. */
    double neededPart(const std::string &serverRegion, const std::string &callerRegion) const;

    const std::string m_region;
    const std::uint64_t m_hash;
    std::uint64_t m_entryChanges = 0;
    std::uint64_t m_serverChanges = 0;
    std::size_t m_peakDaemonCount = 1;
    /** Hashes of the daemons in this daemon's region; empty if this one is not among them. */
    std::vector<std::uint64_t> m_regionDaemons;
    /** Share of each region in all daemons, which stands for its share of the requests. */
    std::map<std::string, double> m_demand;
    /** Share of each region in all slots of the service. */
    std::map<std::string, double> m_capacity;
};

} // namespace sardinehollow::routing
