#pragma once

#include "sardinehollow_routing/backends/BackendState.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinehollow::routing {

using BackendStatePtr = std::shared_ptr<BackendState>;

/** The backend servers that have an entry in the platform's store. Not safe for concurrent use. */
class BackendRegistry
{
public:
    /**
     * Regions by failure domain; servers of unknown failure domains belong to no region. The seed
     * differs between daemons.
     */
    explicit BackendRegistry(std::map<std::string, std::string> regions,
                             std::uint64_t daemonSeed = 0);

    /**
     * Adds or updates a server; a new incarnation under a known id replaces the previous one. An
     * entry that is older than a known one of the server is ignored, since the store may have been
     * restored from an older copy; returns false then.
     */
    bool put(const BackendServer &server, core::Instant now);
    /** Removes a server that has left or died. */
    void remove(const std::string &id);
    bool contains(const std::string &id) const { return m_servers.count(id) > 0; }

    /** Number of changes of entries and evacuations made so far. */
    std::uint64_t changeCount() const { return m_changeCount; }

    /** Servers of a service, including draining ones. */
    const std::vector<BackendStatePtr> &servers(const std::string &service) const;
    const std::map<std::string, BackendStatePtr> &all() const { return m_servers; }

    /** Sets the failure domains whose servers get no new requests. */
    void setEvacuated(std::set<std::string> failureDomains);
    bool isEvacuated(const std::string &failureDomain) const;

private:
    /** Whether a later entry of the server has been known, also if it has been removed since. */
    bool isOutdated(const BackendServer &server) const;
    void detach(const BackendStatePtr &state);
    /**
     * Returns the state that a server had before its entry lapsed, updated by its new entry; null
     * if the incarnation was not known before.
     */
    BackendStatePtr takeRemoved(const BackendServer &server, core::Instant now);

    const std::map<std::string, std::string> m_regions;
    const std::uint64_t m_daemonSeed;
    std::map<std::string, BackendStatePtr> m_servers;
    std::map<std::string, std::vector<BackendStatePtr>> m_services;
    std::set<std::string> m_evacuated;
    std::uint64_t m_changeCount = 0;
    /**
     * Removed servers by id: an entry may lapse while the store is away and return, and what the
     * server's responses stated still holds then.
     */
    std::map<std::string, BackendStatePtr> m_removedServers;
};

} // namespace sardinehollow::routing
