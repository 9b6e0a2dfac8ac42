#include "sardinehollow_routing/backends/ServerRateLimit.h"

namespace sardinehollow::routing {

void ServerRateLimit::set(double requestsPerSecond)
{
    m_isActive = true;
    m_requestsPerSecond = requestsPerSecond;
}

} // namespace sardinehollow::routing
