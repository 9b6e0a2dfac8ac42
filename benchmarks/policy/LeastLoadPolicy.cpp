#include "LeastLoadPolicy.h"

#include <algorithm>

namespace sardinehollow::bench {

const config::BackendServer *LeastLoadPolicy::choose(const policy::RequestOffer &)
{
    const config::BackendServer *best = nullptr;
    double bestLoad = 0.0;
    for (const config::BackendServer &server : usableServers()) {
        const auto report = reports().find(server.name);
        double load = 0.0;
        if (report != reports().end())
            load = report->second.inFlight / std::max(1.0, 1.0 * report->second.slots);
        // Ties are common and broken at random; always taking the first would be worse than a
        // random choice among all servers.
        load += 1e-6 * m_random.nextUnit();
        if (best != nullptr && load >= bestLoad)
            continue;
        best = &server;
        bestLoad = load;
    }
    return best;
}

} // namespace sardinehollow::bench
