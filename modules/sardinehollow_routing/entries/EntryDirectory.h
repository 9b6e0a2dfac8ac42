#pragma once

#include "sardinehollow_routing/entries/EntryDaemon.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/** The daemons that serve callers, and which of them a caller is told. Not safe for concurrent use.
 */
class EntryDirectory
{
public:
    void put(const EntryDaemon &daemon);
    void remove(const std::string &name) { m_daemons.erase(name); }

    const std::map<std::string, EntryDaemon> &daemons() const { return m_daemons; }
    /** Largest number of daemons seen at once, at least 1: budgets are divided by it. */
    std::size_t fleetSize() const { return m_fleetSize; }
    /** Daemons of a region, at least 1. */
    std::size_t countIn(const std::string &region) const;

    /**
     * Returns addresses for a caller: all daemons of its region, and those of other regions only
     * while its own has fewer than two.
     */
    std::vector<std::string> addressesFor(const std::string &region,
                                          const std::string &failureDomain) const;

private:
    std::map<std::string, EntryDaemon> m_daemons;
    std::size_t m_fleetSize = 1;
};

} // namespace sardinehollow::routing
