#include "sardinehollow_routing/state/RoutingState.h"

#include <cassert>

namespace sardinehollow::routing {

RoutingState::RoutingState(const RoutingSettings &settings, core::RandomSource &random)
    : m_region(settings.selection.region)
    , m_random(random)
    , m_backends(settings.regions)
    , m_selector(m_backends, settings.selection)
    , m_retries(settings.retries)
{ }

bool RoutingState::adopt(RoutingConfiguration configuration)
{
    if (m_table && configuration.version <= m_table->configuration().version)
        return false;
    m_table = std::make_shared<const RouteTable>(std::move(configuration));
    return true;
}

const std::string &RoutingState::startRequest(const Route &route)
{
    assert(!route.services.empty());
    double total = 0;
    for (const WeightedService &part : route.services)
        total += part.weight;
    double drawn = m_random.nextUnit() * total;
    const WeightedService *chosen = &route.services.back();
    for (const WeightedService &part : route.services) {
        drawn -= part.weight;
        if (drawn >= 0)
            continue;
        chosen = &part;
        break;
    }
    m_retries.onRequest(chosen->service, m_entries.fleetSize());
    return chosen->service;
}

Selection RoutingState::select(const Route &route, const std::string &service,
                               std::uint64_t objectHash, const std::set<std::string> &tried,
                               core::Instant now)
{
    shareServers(service, now);
    return m_selector.choose(route, service, objectHash, tried, now);
}

void RoutingState::shareServers(const std::string &service, core::Instant now)
{
    const ServicePolicy *policy = m_table ? m_table->service(service) : nullptr;
    const double coldRate = policy ? policy->coldRequestsPerSecond : 0;
    const std::size_t senders = m_entries.countIn(m_region);
    for (const BackendStatePtr &server : m_backends.servers(service)) {
        server->setSenders(senders);
        if (coldRate > 0 && server->isCold(now))
            server->coldPermits().setLimits(
                    coldRate / static_cast<double>(m_entries.fleetSize()), 1);
    }
}

void RoutingState::onSent(BackendState &server, core::Instant now)
{
    if (server.isCold(now))
        server.coldPermits().take(now);
}

bool RoutingState::takeRetry(const std::string &service, core::Instant now)
{
    return m_retries.take(service, now);
}

} // namespace sardinehollow::routing
