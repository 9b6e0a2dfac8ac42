#pragma once

#include "sardinehollow_routing/configuration/RoutingConfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sardinehollow::routing {

/** Lookup of routes and teams in one version of the configuration. Immutable. */
class RouteTable
{
public:
    explicit RouteTable(RoutingConfiguration configuration);

    /**
     * Returns the route of the host with the longest prefix of the path, or nullptr. The host is
     * compared without case and port; a query behind the path is ignored.
     */
    const Route *find(std::string_view host, std::string_view path) const;
    /** Returns a Host field's host in lower case and without its port. */
    static std::string hostName(std::string_view hostField);
    /** Returns the service's policy, or nullptr if the configuration has none. */
    const ServicePolicy *service(const std::string &name) const;
    /** Returns the team with the key, or nullptr; an empty key is of no team. */
    const Team *teamOfKey(std::string_view key) const;
    /** Whether callers are identified as teams. */
    bool hasTeams() const { return !m_configuration.teams.empty(); }
    const RoutingConfiguration &configuration() const { return m_configuration; }

private:
    struct HostRoutes
    {
        std::unordered_map<std::string, const Route *> byPrefix;
        std::size_t longestPrefix = 0;
    };

    const RoutingConfiguration m_configuration;
    std::unordered_map<std::string, HostRoutes> m_hosts;
    /** The keys are owned by the configuration. */
    std::unordered_map<std::string_view, const Team *> m_teamsByKey;
};

} // namespace sardinehollow::routing
