#include "sardinehollow_routing/entries/EntryDirectory.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sardinehollow::routing {

namespace {

// With a single daemon, callers would have no other one to use when it fails.
constexpr std::size_t minimumDaemons = 2;
// Callers store at most this many addresses.
constexpr std::size_t maximumDaemons = 64;
// Part of the largest VM's capacity from which a VM is large. VMs that differ less bear about the
// same number of requests.
constexpr double largeVmShare = 0.5;

double partOf(double value, double largest)
{
    // Unknown capacities count as sufficient.
    return value > 0 && largest > 0 ? value / largest : 1;
}

} // namespace

void EntryDirectory::put(const EntryDaemon &daemon)
{
    m_daemons[daemon.name] = daemon;
    onChanged();
    m_peakDaemonCount = std::max(m_peakDaemonCount, m_daemons.size());
}

void EntryDirectory::remove(const std::string &name)
{
    if (m_daemons.erase(name) > 0)
        onChanged();
}

void EntryDirectory::onChanged()
{
    ++m_changeCount;
    m_groups.clear();
}

const EntryDirectory::RegionGroups &EntryDirectory::groups(const std::string &region) const
{
    const auto known = m_groups.find(region);
    if (known != m_groups.end())
        return known->second;
    double cores = 0;
    double link = 0;
    for (const auto &[name, daemon] : m_daemons) {
        if (daemon.region != region)
            continue;
        cores = std::max(cores, daemon.cores);
        link = std::max(link, daemon.linkMegabits);
    }
    RegionGroups groups;
    std::set<std::string> largeDomains;
    std::set<std::string> domains;
    for (const auto &[name, daemon] : m_daemons) {
        if (daemon.region != region)
            continue;
        domains.insert(daemon.failureDomain);
        // A VM bears as many requests as its scarcest resource does.
        const bool isLarge
                = std::min(partOf(daemon.cores, cores), partOf(daemon.linkMegabits, link))
                >= largeVmShare;
        (isLarge ? groups.main : groups.reserve).insert(name);
        if (isLarge)
            largeDomains.insert(daemon.failureDomain);
    }
    // The loss of one failure domain must leave large VMs.
    const bool isTolerant = groups.main.size() >= minimumDaemons
            && largeDomains.size() >= std::min(domains.size(), minimumDaemons);
    if (!isTolerant)
        groups.main.merge(groups.reserve);
    return m_groups.emplace(region, std::move(groups)).first->second;
}

bool EntryDirectory::isMain(const EntryDaemon &daemon) const
{
    return groups(daemon.region).main.count(daemon.name) > 0;
}

std::size_t EntryDirectory::countInRegion(const std::string &region) const
{
    const auto count
            = std::count_if(m_daemons.begin(), m_daemons.end(),
                            [&region](const auto &entry) { return entry.second.region == region; });
    return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

std::size_t EntryDirectory::equivalentSenders(const std::string &region,
                                              const std::string &name) const
{
    const RegionGroups &known = groups(region);
    if (known.reserve.empty())
        return countInRegion(region);
    // Each response lists the main daemons and one of the reserve, and callers use them equally.
    const std::size_t listed = known.main.size() + 1;
    return known.main.count(name) > 0 ? listed : listed * known.reserve.size();
}

std::vector<EntryDaemon> EntryDirectory::daemonsFor(const std::string &region,
                                                    const std::string &failureDomain,
                                                    std::uint64_t draw) const
{
    std::vector<EntryDaemon> own;
    std::vector<EntryDaemon> near;
    std::vector<EntryDaemon> far;
    const RegionGroups &known = groups(region);
    std::string reserve;
    if (!known.reserve.empty())
        reserve = *std::next(known.reserve.begin(),
                             static_cast<std::ptrdiff_t>(draw % known.reserve.size()));
    for (const auto &[name, daemon] : m_daemons) {
        if (known.reserve.count(name) > 0 && name != reserve)
            continue;
        if (daemon.failureDomain == failureDomain)
            own.push_back(daemon);
        else if (daemon.region == region)
            near.push_back(daemon);
        else
            far.push_back(daemon);
    }
    own.insert(own.end(), near.begin(), near.end());
    if (own.size() < minimumDaemons)
        own.insert(own.end(), far.begin(), far.end());
    own.resize(std::min(own.size(), maximumDaemons));
    return own;
}

} // namespace sardinehollow::routing
