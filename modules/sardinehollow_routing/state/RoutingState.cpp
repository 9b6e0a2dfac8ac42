#include "sardinehollow_routing/state/RoutingState.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cassert>

namespace sardinehollow::routing {

namespace {

// Each daemon that may send to a cold server can send one request at once, so that fewer daemons
// than the rate's permits leave room for requests that fall into the same second.
constexpr double coldSendersPerRate = 0.5;
constexpr std::size_t mostColdSenders = 8;

} // namespace

RoutingState::RoutingState(const RoutingSettings &settings, core::RandomSource &random)
    : m_self(settings.self)
    , m_region(settings.selection.region)
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
    m_selector.setSenders(m_entries.countIn(m_region));
    if (coldRate <= 0)
        return;
    for (const BackendStatePtr &server : m_backends.servers(service)) {
        if (!server->isCold(now))
            continue;
        const double share = coldShare(*server, coldRate);
        server->coldPermits().setLimits(coldRate * share, share > 0 ? 1 : 0);
    }
}

double RoutingState::coldShare(const BackendState &server, double coldRate) const
{
    const auto mostSenders = static_cast<std::size_t>(
            std::clamp(coldRate * coldSendersPerRate, 1.0, static_cast<double>(mostColdSenders)));
    const std::uint64_t own = core::combineHashes(server.hash(), core::stableHash(m_self));
    std::size_t eligible = 0;
    std::size_t ahead = 0;
    bool isEligible = false;
    for (const auto &[name, daemon] : m_entries.daemons()) {
        if (daemon.region != server.region())
            continue;
        ++eligible;
        isEligible = isEligible || name == m_self;
        ahead += core::combineHashes(server.hash(), core::stableHash(name)) > own ? 1 : 0;
    }
    if (!isEligible || ahead >= mostSenders)
        return 0;
    return 1.0 / static_cast<double>(std::min(mostSenders, eligible));
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
