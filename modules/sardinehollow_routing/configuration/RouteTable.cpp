#include "sardinehollow_routing/configuration/RouteTable.h"

#include <Poco/String.h>

#include <algorithm>

namespace sardinehollow::routing {

RouteTable::RouteTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes) {
        HostRoutes &routes = m_hosts[Poco::toLower(route.host)];
        routes.byPrefix.emplace(route.prefix, &route);
        routes.longestPrefix = std::max(routes.longestPrefix, route.prefix.size());
    }
    for (const Team &team : m_configuration.teams) {
        for (const std::string &key : team.keys)
            m_teamsByKey.emplace(key, &team);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto known = m_hosts.find(hostName(host));
    if (known == m_hosts.end())
        return nullptr;
    const HostRoutes &routes = known->second;
    // Each slash costs a search for the path up to it, so that a caller's path of slashes is cut.
    std::string prefix(path.substr(0, std::min(path.find('?'), routes.longestPrefix)));
    // Prefixes end with a slash, so that only the path up to each slash can match.
    for (std::size_t slash = prefix.rfind('/'); slash != std::string::npos;
         slash = prefix.rfind('/')) {
        prefix.resize(slash + 1);
        const auto found = routes.byPrefix.find(prefix);
        if (found != routes.byPrefix.end())
            return found->second;
        prefix.resize(slash);
    }
    return nullptr;
}

std::string RouteTable::hostName(std::string_view hostField)
{
    // An IPv6 address is in brackets, and has colons itself.
    const std::size_t end = hostField.rfind("[", 0) == 0 ? hostField.find("]") : 0;
    return Poco::toLower(std::string(hostField.substr(0, hostField.find(':', end))));
}

const Team *RouteTable::teamOfKey(std::string_view key) const
{
    const auto found = m_teamsByKey.find(key);
    return key.empty() || found == m_teamsByKey.end() ? nullptr : found->second;
}

const ServicePolicy *RouteTable::service(const std::string &name) const
{
    const auto found = m_configuration.services.find(name);
    return found == m_configuration.services.end() ? nullptr : &found->second;
}

} // namespace sardinehollow::routing
