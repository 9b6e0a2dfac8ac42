#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::routing {

/** The rate of requests that a server accepts from all daemons together. */
class ServerRateLimit
{
public:
    /** Applies the limit of a response, in requests per second. */
    void set(double requestsPerSecond);
    /** Ends the limit. */
    void clear() { m_isActive = false; }
    bool isActive() const { return m_isActive; }
    /** The limit in requests per second; without meaning while it is not active. */
    double requestsPerSecond() const { return m_requestsPerSecond; }

private:
    bool m_isActive = false;
    double m_requestsPerSecond = 0;
};

} // namespace sardinehollow::routing
