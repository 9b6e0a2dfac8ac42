#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_policy/lookup/LookupAnswer.h"
#include "sardinehollow_policy/lookup/ShiftFractions.h"
#include "sardinehollow_policy/peers/PeerView.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::policy {

/**
 * Chooses and orders the entry VMs for callers. Immutable; rebuilt for each new configuration, peer
 * view or fraction of a shift, so that a look-up only has to rank the VMs of a few failure domains.
 */
class LookupPlanner
{
public:
    /** Largest number of entry VMs in an answer; callers rarely try more before their deadline. */
    static constexpr std::size_t maxEntries = 5;
    /**
     * Largest number of entry VMs of one failure domain in an answer while another failure domain
     * is usable.
     */
    static constexpr std::size_t maxEntriesOfDomain = 3;

    LookupPlanner(std::shared_ptr<const config::Configuration> configuration, const PeerView &peers,
                  const ShiftFractions &fractions);

    /** Returns the answer for a caller; site is the one of its client block, if there is one. */
    LookupAnswer plan(const std::string &workKind, std::uint64_t callerHash,
                      std::optional<std::uint32_t> site) const;

    /** Returns the shift that currently moves the caller, or nullptr. */
    const config::Shift *shiftOf(const std::string &workKind, std::uint64_t callerHash,
                                 std::optional<std::uint32_t> site) const;

    /** Returns the region of the failure domain that the site prefers, usable or not. */
    const std::string &homeRegion(std::optional<std::uint32_t> site) const
    {
        return sitePlan(site).homeRegion;
    }

private:
    struct Entry
    {
        EntryOption option;
        std::uint64_t hash = 0;
    };

    struct Domain
    {
        std::string name;
        std::string region;
        std::uint64_t hash = 0;
        std::string claimScope;
        std::vector<Entry> entries;
    };

    struct SitePlan
    {
        std::string homeRegion;
        /** Indices of usable failure domains in m_domains, in order of preference. */
        std::vector<std::size_t> domains;
    };

    struct ActiveShift
    {
        const config::Shift *shift = nullptr;
        std::uint64_t hash = 0;
        double fraction = 0.0;
        /** Usable destinations: index in m_domains and cap in requests per second. */
        std::vector<std::pair<std::size_t, double>> destinations;
    };

    /** For each region, the indices of all usable failure domains by latency from that region. */
    using NearestDomains = std::map<std::string, std::vector<std::size_t>, std::less<>>;

    void addDomains(const PeerView &peers);
    void addSites();
    void addShifts(const ShiftFractions &fractions);
    SitePlan planSite(const std::vector<std::string> &preferred,
                      const NearestDomains &nearest) const;
    NearestDomains nearestDomains() const;
    std::optional<std::size_t> usableDomain(const std::string &name) const;
    const SitePlan &sitePlan(std::optional<std::uint32_t> site) const;
    const ActiveShift *activeShift(const std::string &workKind, std::uint64_t callerHash,
                                   const SitePlan &site) const;
    /** Destinations of the shift in rendezvous order, then the other domains of the site. */
    std::vector<std::size_t> shiftedOrder(const ActiveShift &shift, std::uint64_t callerHash,
                                          const SitePlan &site) const;
    static void appendEntries(const Domain &domain, std::uint64_t callerHash, std::size_t limit,
                              std::vector<EntryOption> &entries);

    std::shared_ptr<const config::Configuration> m_configuration;
    /** Failure domains that are not drained and have at least one usable entry VM. */
    std::vector<Domain> m_domains;
    /** One plan for each site, then one for callers without a client block. */
    std::vector<SitePlan> m_sites;
    std::vector<ActiveShift> m_shifts;
};

} // namespace sardinehollow::policy
