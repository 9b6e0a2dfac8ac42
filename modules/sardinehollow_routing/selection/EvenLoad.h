#pragma once

#include "sardinehollow_routing/backends/BackendState.h"
#include "sardinehollow_routing/configuration/Route.h"

#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * Selects among the first servers of an object by bounded load: the first one in rendezvous order
 * is used unless its load exceeds a bound relative to the mean. Not safe for concurrent use.
 */
class EvenLoad
{
public:
    /** Number of servers in rendezvous order that may run the requests for an object. */
    static constexpr std::size_t homeCount = 3;
    using Servers = std::vector<const BackendState *>;

    struct Choice
    {
        /** Index of the selected server. */
        std::size_t index = 0;
        /** Mean predicted load per slot of the servers. */
        double meanLoad = 0;
    };

    /** The failure domain of this daemon. */
    explicit EvenLoad(std::string failureDomain);

    /**
     * Decides whether servers in the daemon's failure domain are preferred, by the load of the
     * servers of its region.
     */
    void update(const Servers &region, core::Instant now);
    bool prefersOwnDomain() const { return m_prefersOwnDomain; }
    /** Selects one of the servers, of which there is at least one, in order of preference. */
    Choice choose(const Servers &ranked, const Route &route, core::Instant now) const;

private:
    /** Returns the indices of the object's first servers, in order of preference. */
    std::vector<std::size_t> homes(const Servers &ranked, const Route &route) const;

    const std::string m_failureDomain;
    bool m_prefersOwnDomain = false;
    /** Load per slot of the failure domain with the highest load. */
    TimeAverage m_highestLoad;
    core::Instant m_firstAt {0};
};

} // namespace sardinehollow::routing
