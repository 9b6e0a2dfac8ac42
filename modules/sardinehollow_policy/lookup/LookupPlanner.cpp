#include "sardinehollow_policy/lookup/LookupPlanner.h"

#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_policy/shift/ShiftMembership.h"

#include <algorithm>
#include <cmath>

namespace sardinehollow::policy {

namespace {

constexpr std::uint32_t fullWeight = 100;
// Load is rounded to quarters, so that small changes of load do not reorder the answers.
constexpr double loadSteps = 4.0;
// A fully loaded VM keeps a small weight in answers, because its load report may be out of date.
constexpr double minWeightFraction = 0.1;

std::uint32_t weightOf(double load)
{
    const double rounded = std::round(std::clamp(load, 0.0, 1.0) * loadSteps) / loadSteps;
    return static_cast<std::uint32_t>(fullWeight * std::max(1.0 - rounded, minWeightFraction));
}

// Cost of a candidate in weighted rendezvous hashing. The candidate with the lowest cost wins, so
// each one wins in proportion to its weight.
double rendezvousCost(std::uint64_t candidate, std::uint64_t caller, double weight)
{
    const double unit = core::hashToUnit(core::combineHashes(candidate, caller));
    return -std::log1p(-unit) / weight;
}

using Latencies = std::map<std::string_view, std::chrono::microseconds>;

Latencies latenciesFrom(const config::Configuration &configuration, std::string_view region)
{
    Latencies latencies;
    for (const std::string &other : configuration.regions)
        latencies[other] = std::chrono::microseconds::max();
    for (const config::Link &link : configuration.links) {
        if (link.firstRegion == region)
            latencies[link.secondRegion] = link.oneWayLatency;
        if (link.secondRegion == region)
            latencies[link.firstRegion] = link.oneWayLatency;
    }
    latencies[region] = std::chrono::microseconds(0);
    return latencies;
}

} // namespace

LookupPlanner::LookupPlanner(std::shared_ptr<const config::Configuration> configuration,
                             const PeerView &peers, const ShiftFractions &fractions)
    : m_configuration(std::move(configuration))
{
    addDomains(peers);
    addSites();
    addShifts(fractions);
}

LookupAnswer LookupPlanner::plan(const std::string &workKind, std::uint64_t callerHash,
                                 std::optional<std::uint32_t> site) const
{
    LookupAnswer answer;
    answer.generation = m_configuration->generation;
    answer.lifetime = m_configuration->answerLifetime;
    const SitePlan &plan = sitePlan(site);
    const ActiveShift *shift = activeShift(workKind, callerHash, plan);
    const std::vector<std::size_t> shifted = shift == nullptr
            ? std::vector<std::size_t>()
            : shiftedOrder(*shift, callerHash, plan);
    const std::vector<std::size_t> &domains = shift == nullptr ? plan.domains : shifted;
    const std::size_t limit = domains.size() > 1 ? maxEntriesOfDomain : maxEntries;
    for (const std::size_t index : domains) {
        if (answer.entries.size() >= maxEntries)
            break;
        const Domain &domain = m_domains[index];
        if (answer.claimScope.empty())
            answer.claimScope = domain.claimScope;
        appendEntries(domain, callerHash, limit, answer.entries);
    }
    return answer;
}

const config::Shift *LookupPlanner::shiftOf(const std::string &workKind, std::uint64_t callerHash,
                                            std::optional<std::uint32_t> site) const
{
    const ActiveShift *active = activeShift(workKind, callerHash, sitePlan(site));
    return active == nullptr ? nullptr : active->shift;
}

void LookupPlanner::addDomains(const PeerView &peers)
{
    std::map<std::string_view, std::vector<const Peer *>> peersOf;
    for (const Peer &peer : peers.peers)
        peersOf[peer.failureDomain].push_back(&peer);
    for (const config::FailureDomain &failureDomain : m_configuration->failureDomains) {
        if (m_configuration->isFailureDomainDrained(failureDomain.name))
            continue;
        Domain domain {failureDomain.name,
                       failureDomain.region,
                       core::stableHash(failureDomain.name),
                       {},
                       {}};
        for (const Peer *peer : peersOf[failureDomain.name]) {
            if (peer->leaving || m_configuration->isDrained(config::DrainTarget::Vm, peer->vm))
                continue;
            if (domain.claimScope.empty())
                domain.claimScope = peer->claimScope;
            domain.entries.push_back(
                    {{peer->callerAddress, peer->failureDomain, peer->region, weightOf(peer->load)},
                     core::stableHash(peer->vm)});
        }
        if (!domain.entries.empty())
            m_domains.push_back(std::move(domain));
    }
}

void LookupPlanner::addSites()
{
    const NearestDomains nearest = nearestDomains();
    for (const config::Site &site : m_configuration->sites)
        m_sites.push_back(planSite(site.failureDomains, nearest));
    m_sites.push_back(planSite({}, nearest));
}

void LookupPlanner::addShifts(const ShiftFractions &fractions)
{
    for (const config::Shift &shift : m_configuration->shifts) {
        const auto fraction = fractions.find(shift.name);
        if (fraction == fractions.end() || fraction->second <= 0.0)
            continue;
        ActiveShift active {&shift, core::stableHash(shift.name), fraction->second, {}};
        for (const config::ShiftDestination &destination : shift.destinations) {
            const std::optional<std::size_t> domain = usableDomain(destination.failureDomain);
            if (domain && destination.capPerSecond > 0)
                active.destinations.emplace_back(*domain, destination.capPerSecond);
        }
        // A shift without a usable destination moves no callers.
        if (!active.destinations.empty())
            m_shifts.push_back(std::move(active));
    }
}

LookupPlanner::NearestDomains LookupPlanner::nearestDomains() const
{
    NearestDomains nearest;
    for (const std::string &region : m_configuration->regions) {
        const Latencies latencies = latenciesFrom(*m_configuration, region);
        std::vector<std::pair<std::chrono::microseconds, std::size_t>> ranked;
        for (std::size_t index = 0; index < m_domains.size(); ++index)
            ranked.emplace_back(latencies.at(m_domains[index].region), index);
        std::sort(ranked.begin(), ranked.end());
        std::vector<std::size_t> &order = nearest[region];
        for (const auto &[latency, index] : ranked)
            order.push_back(index);
    }
    return nearest;
}

LookupPlanner::SitePlan LookupPlanner::planSite(const std::vector<std::string> &preferred,
                                                const NearestDomains &nearest) const
{
    SitePlan plan;
    std::vector<bool> listed(m_domains.size(), false);
    const auto add = [&plan, &listed](std::size_t domain) {
        if (!listed[domain])
            plan.domains.push_back(domain);
        listed[domain] = true;
    };
    for (const std::string &name : preferred) {
        if (plan.homeRegion.empty())
            plan.homeRegion = m_configuration->regionOf(name);
        if (const std::optional<std::size_t> domain = usableDomain(name))
            add(*domain);
    }
    if (plan.homeRegion.empty() && !m_configuration->failureDomains.empty())
        plan.homeRegion = m_configuration->failureDomains.front().region;
    const auto others = nearest.find(plan.homeRegion);
    if (others == nearest.end())
        return plan;
    for (const std::size_t domain : others->second)
        add(domain);
    return plan;
}

std::optional<std::size_t> LookupPlanner::usableDomain(const std::string &name) const
{
    const auto found = std::find_if(m_domains.begin(), m_domains.end(),
                                    [&name](const Domain &item) { return item.name == name; });
    if (found == m_domains.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - m_domains.begin());
}

const LookupPlanner::SitePlan &LookupPlanner::sitePlan(std::optional<std::uint32_t> site) const
{
    const bool known = site && *site + 1 < m_sites.size();
    return known ? m_sites[*site] : m_sites.back();
}

const LookupPlanner::ActiveShift *LookupPlanner::activeShift(const std::string &workKind,
                                                             std::uint64_t callerHash,
                                                             const SitePlan &site) const
{
    for (const ActiveShift &active : m_shifts) {
        if (active.shift->fromRegion != site.homeRegion || !movesWorkKind(*active.shift, workKind))
            continue;
        if (isWithinFraction(active.hash, callerHash, active.fraction))
            return &active;
    }
    return nullptr;
}

std::vector<std::size_t> LookupPlanner::shiftedOrder(const ActiveShift &shift,
                                                     std::uint64_t callerHash,
                                                     const SitePlan &site) const
{
    std::vector<std::pair<double, std::size_t>> ranked;
    for (const auto &[index, share] : shift.destinations)
        ranked.emplace_back(rendezvousCost(m_domains[index].hash, callerHash, share), index);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::size_t> result;
    for (const auto &[unused, index] : ranked)
        result.push_back(index);
    for (const std::size_t index : site.domains) {
        if (std::find(result.begin(), result.end(), index) == result.end())
            result.push_back(index);
    }
    return result;
}

void LookupPlanner::appendEntries(const Domain &domain, std::uint64_t callerHash, std::size_t limit,
                                  std::vector<EntryOption> &entries)
{
    std::vector<std::pair<double, const Entry *>> ranked;
    ranked.reserve(domain.entries.size());
    for (const Entry &entry : domain.entries)
        ranked.emplace_back(rendezvousCost(entry.hash, callerHash, entry.option.weight), &entry);
    const std::size_t count = std::min({limit, maxEntries - entries.size(), ranked.size()});
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    for (std::size_t index = 0; index < count; ++index)
        entries.push_back(ranked[index].second->option);
}

} // namespace sardinehollow::policy
