#include "sardinehollow_routing/state/RoutingState.h"

#include "sardinehollow_core/hash/StableHash.h"

#include <algorithm>
#include <cassert>

namespace sardinehollow::routing {

namespace {

// Number of daemons that may send to a cold server, per request per second that it accepts. Each of
// them has a burst of one request, so that fewer daemons than permits per second leave headroom for
// bursts that fall into the same second.
constexpr double coldSendersPerRate = 0.5;
constexpr std::size_t maximumColdSenders = 8;
// Number of daemons in each region from which their shares tell how many requests to expect.
constexpr std::size_t minimumRegionDaemons = 2;

} // namespace

RoutingState::RoutingState(const RoutingSettings &settings, core::RandomSource &random)
    : m_vmName(settings.vmName)
    , m_region(settings.selection.region)
    , m_failureDomain(settings.selection.failureDomain)
    , m_regions(settings.regions)
    , m_random(random)
    , m_backends(settings.regions, core::stableHash(settings.vmName))
    , m_selector(m_backends, settings.selection, core::stableHash(settings.vmName))
    , m_retries(settings.retries)
{ }

bool RoutingState::adopt(RoutingConfiguration configuration)
{
    if (m_table && configuration.version <= m_table->configuration().version)
        return false;
    m_table = std::make_shared<const RouteTable>(std::move(configuration));
    return true;
}

const std::string &RoutingState::assignService(const Route &route)
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
    m_retries.onRequest(chosen->service, m_entries.peakDaemonCount());
    return chosen->service;
}

Selection RoutingState::select(const RequestScope &scope, const std::string &service,
                               std::uint64_t objectHash, const std::set<std::string> &tried,
                               core::Instant now)
{
    updateSenderCounts(service, now);
    updateDemandShares();
    Selection selection = m_selector.choose(scope, service, objectHash, tried, now);
    if (selection.server && tried.empty())
        admission().onAdmitted(service, scope.rank());
    return selection;
}

void RoutingState::updateDemandShares()
{
    if (m_entries.changeCount() == m_demandChangeCount)
        return;
    m_demandChangeCount = m_entries.changeCount();
    std::map<std::string, std::size_t> regions;
    for (const auto &[domain, region] : m_regions)
        regions[region] = 0;
    double inDomain = 0;
    for (const auto &[name, daemon] : m_entries.daemons()) {
        ++regions[daemon.region];
        inDomain += daemon.failureDomain == m_failureDomain ? 1 : 0;
    }
    // After a restart of all daemons, few of them are known at first.
    const bool isKnown = std::all_of(regions.begin(), regions.end(), [](const auto &item) {
        return item.second >= minimumRegionDaemons;
    });
    const auto all = static_cast<double>(m_entries.daemons().size());
    m_selector.setDemandShares(
            isKnown ? DemandShares {static_cast<double>(regions[m_region]) / all, inDomain / all}
                    : DemandShares {});
}

void RoutingState::updateSenderCounts(const std::string &service, core::Instant now)
{
    const ServicePolicy *policy = m_table ? m_table->service(service) : nullptr;
    const double coldRate = policy ? policy->coldRequestsPerSecond : 0;
    m_selector.setSenderCount(m_entries.equivalentSenders(m_region, m_vmName));
    updateRateLimitShares(service);
    for (const BackendStatePtr &server : m_backends.servers(service)) {
        if (coldRate <= 0 || !server->isCold(now))
            continue;
        const double share = coldPermitShare(*server, coldRate);
        server->coldPermits().setLimits(coldRate * share, share > 0 ? 1 : 0);
    }
}

void RoutingState::updateRateLimitShares(const std::string &service)
{
    const std::vector<BackendStatePtr> &servers = m_backends.servers(service);
    const bool isLimited = std::any_of(servers.begin(), servers.end(), [](const auto &server) {
        return server->rateLimit().isActive();
    });
    if (!isLimited)
        return;
    RateLimitShares &shares
            = m_rateLimitShares.try_emplace(service, m_vmName, m_region).first->second;
    const bool haveChanged = shares.update(m_entries, m_backends, service);
    for (const BackendStatePtr &server : servers) {
        ServerRateLimit &limit = server->rateLimit();
        if (limit.isActive() && (haveChanged || !limit.hasShare()))
            limit.setShare(shares.shareOf(*server));
    }
}

double RoutingState::coldPermitShare(const BackendState &server, double coldRate) const
{
    const auto maximumSenders = static_cast<std::size_t>(std::clamp(
            coldRate * coldSendersPerRate, 1.0, static_cast<double>(maximumColdSenders)));
    const std::uint64_t own = core::combineHashes(server.hash(), core::stableHash(m_vmName));
    std::size_t eligible = 0;
    std::size_t higherRanked = 0;
    bool isEligible = false;
    for (const auto &[name, daemon] : m_entries.daemons()) {
        // A daemon with few requests would leave the server's permits unused.
        if (daemon.region != server.region() || !m_entries.isMain(daemon))
            continue;
        ++eligible;
        isEligible = isEligible || name == m_vmName;
        higherRanked += core::combineHashes(server.hash(), core::stableHash(name)) > own ? 1 : 0;
    }
    if (!isEligible || higherRanked >= maximumSenders)
        return 0;
    return 1.0 / static_cast<double>(std::min(maximumSenders, eligible));
}

void RoutingState::takePermits(BackendState &server, core::Instant now)
{
    server.rateLimit().take(now);
    if (server.isCold(now))
        server.coldPermits().take(now);
}

bool RoutingState::takeRetryPermit(const std::string &service, core::Instant now)
{
    return m_retries.take(service, now);
}

} // namespace sardinehollow::routing
