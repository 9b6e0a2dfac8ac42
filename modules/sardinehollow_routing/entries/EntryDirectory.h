#pragma once

#include "sardinehollow_routing/entries/EntryDaemon.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/**
 * The entry daemons, and which of them a caller may use. Where the VMs of a region differ in
 * capacity by more than a factor of two, callers are sent mainly to the large ones. Not safe for
 * concurrent use.
 */
class EntryDirectory
{
public:
    void put(const EntryDaemon &daemon);
    void remove(const std::string &name);
    /** Number of changes made so far. */
    std::uint64_t changeCount() const { return m_changeCount; }

    const std::map<std::string, EntryDaemon> &daemons() const { return m_daemons; }
    /**
     * Largest number of daemons seen at the same time, at least 1. Budgets are divided by it,
     * because daemons that are no longer visible may still be running.
     */
    std::size_t peakDaemonCount() const { return m_peakDaemonCount; }
    /** Number of daemons in a region, at least 1. */
    std::size_t countInRegion(const std::string &region) const;
    /** Whether the daemon is one of those that the callers of its region are mainly sent to. */
    bool isMain(const EntryDaemon &daemon) const;
    /**
     * Returns the number of daemons, at least 1, that the region would have if all of them got as
     * many requests as the named one.
     */
    std::size_t equivalentSenders(const std::string &region, const std::string &name) const;

    /**
     * Returns at most 64 daemons for a caller: those of its failure domain, then the others of its
     * region, and those of other regions only if there are fewer than two. Of the small VMs, only
     * one is returned, chosen by the random number draw.
     */
    std::vector<EntryDaemon> daemonsFor(const std::string &region, const std::string &failureDomain,
                                        std::uint64_t draw) const;

private:
    /** Names of a region's daemons by the capacity of their VMs. */
    struct RegionGroups
    {
        std::set<std::string> main;
        /** Daemons on small VMs, which callers use if those on large ones fail. */
        std::set<std::string> reserve;
    };

    const RegionGroups &groups(const std::string &region) const;
    void onChanged();

    std::map<std::string, EntryDaemon> m_daemons;
    std::size_t m_peakDaemonCount = 1;
    std::uint64_t m_changeCount = 0;
    /** By region; computed when needed after a change. */
    mutable std::map<std::string, RegionGroups> m_groups;
};

} // namespace sardinehollow::routing
