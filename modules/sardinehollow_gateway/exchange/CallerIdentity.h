#pragma once

#include "sardinehollow_gateway/exchange/WireProtocol.h"
#include "sardinehollow_gateway/status/DenialReason.h"
#include "sardinehollow_routing/configuration/RouteTable.h"

#include <optional>
#include <string>

namespace sardinehollow::gateway {

/**
 * Identifies the team that a request is from, by one version of the configuration, which must
 * outlive it.
 */
class CallerIdentity
{
public:
    /** Of a request that has not been routed. */
    CallerIdentity() = default;
    CallerIdentity(const routing::RouteTable &table, const routing::Route &route,
                   const std::string &key);

    /** Returns why the request must not be served; empty if it may be. */
    std::optional<DenialReason> denial() const { return m_denial; }
    /** Null if the request is from no team. */
    const routing::Team *team() const { return m_team; }
    /**
     * Removes the caller's key from a request to a backend server and names the team there. Leaves
     * the request unchanged if no teams are in use.
     */
    void applyTo(Poco::Net::HTTPRequest &request, const WireProtocol &protocol) const;

private:
    bool m_areTeamsInUse = false;
    const routing::Team *m_team = nullptr;
    std::optional<DenialReason> m_denial;
};

} // namespace sardinehollow::gateway
