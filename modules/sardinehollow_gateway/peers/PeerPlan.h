#pragma once

#include "sardinehollow_routing/entries/EntryDirectory.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace sardinehollow::gateway {

/** The daemons that one daemon exchanges messages with, and which of them are relays. */
struct PeerPlan
{
    /** Relays of the own failure domain, possibly with this daemon. */
    std::set<std::string> ownRelays;
    /** Number of daemons in the own failure domain, this daemon included. */
    std::size_t ownMembers = 0;
    bool isRelay = false;
    /** Relays of all other failure domains by failure domain. */
    std::map<std::string, std::set<std::string>> remoteRelays;
    /** Peer addresses by VM name of the daemons to exchange messages with. */
    std::map<std::string, std::string> addresses;

    /** Whether daemons of the own failure domain depend on its relays. */
    bool hasFollowers() const { return ownRelays.size() < ownMembers; }
};

/**
 * Derives the plan from the directory, so that daemons with the same entries agree without
 * messages. The relays of other failure domains get an address only if messages pass across failure
 * domains and this daemon is a relay itself.
 */
PeerPlan makePeerPlan(const routing::EntryDaemon &self, const routing::EntryDirectory &entries,
                      bool isAcrossDomains);

} // namespace sardinehollow::gateway
