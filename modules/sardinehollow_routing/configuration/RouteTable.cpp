#include "sardinehollow_routing/configuration/RouteTable.h"

#include <Poco/String.h>

namespace sardinehollow::routing {

RouteTable::RouteTable(RoutingConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes)
        m_hosts[Poco::toLower(route.host)].emplace(route.prefix, &route);
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string name = Poco::toLower(std::string(host.substr(0, host.find(':'))));
    const auto routes = m_hosts.find(name);
    if (routes == m_hosts.end())
        return nullptr;
    std::string prefix(path.substr(0, path.find('?')));
    // Prefixes end with a slash, so that only the path up to each slash can match.
    for (std::size_t slash = prefix.rfind('/'); slash != std::string::npos;
         slash = prefix.rfind('/')) {
        prefix.resize(slash + 1);
        const auto found = routes->second.find(prefix);
        if (found != routes->second.end())
            return found->second;
        prefix.resize(slash);
    }
    return nullptr;
}

const ServicePolicy *RouteTable::service(const std::string &name) const
{
    const auto found = m_configuration.services.find(name);
    return found == m_configuration.services.end() ? nullptr : &found->second;
}

} // namespace sardinehollow::routing
