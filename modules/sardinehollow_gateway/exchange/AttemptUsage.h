#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/configuration/Team.h"
#include "sardinehollow_routing/demand/DemandMeter.h"
#include "sardinehollow_routing/quotas/QuotaGate.h"

#include <string>

namespace sardinehollow::gateway {

/**
 * Accounts for the attempts of one request, of which at most one is open: charges them to the quota
 * of the request's team, and counts them as demand for their service.
 */
class AttemptUsage
{
public:
    AttemptUsage(routing::QuotaGate &gate, routing::DemandMeter &meter);
    ~AttemptUsage();

    AttemptUsage(const AttemptUsage &) = delete;
    AttemptUsage &operator=(const AttemptUsage &) = delete;

    /** Records that the request is sent. The team may be null; it must outlive the attempt. */
    void begin(const routing::Team *team, const std::string &service, const std::string &region,
               core::Instant now);
    /** Records a complete response to a request that ran; does nothing without an open attempt. */
    void complete(core::Instant now);
    /** Records the end of an attempt without one; does nothing without an open attempt. */
    void abandon(bool mayHaveRun);

private:
    routing::QuotaGate &m_gate;
    routing::DemandMeter &m_meter;
    bool m_isOpen = false;
    const routing::Team *m_team = nullptr;
    std::string m_service;
    std::string m_region;
    core::Instant m_sentAt {0};
};

} // namespace sardinehollow::gateway
