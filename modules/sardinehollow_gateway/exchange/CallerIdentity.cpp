#include "sardinehollow_gateway/exchange/CallerIdentity.h"

namespace sardinehollow::gateway {

CallerIdentity::CallerIdentity(const routing::RouteTable &table, const routing::Route &route,
                               const std::string &key)
    : m_areTeamsInUse(table.hasTeams())
    , m_team(table.teamOfKey(key))
{
    if (!m_areTeamsInUse || m_team || route.allowsAnonymous)
        return;
    m_denial = key.empty() ? DenialReason::MissingKey : DenialReason::UnknownKey;
}

void CallerIdentity::applyTo(Poco::Net::HTTPRequest &request, const WireProtocol &protocol) const
{
    if (m_areTeamsInUse)
        protocol.setTeam(request, m_team ? m_team->name : std::string());
}

} // namespace sardinehollow::gateway
