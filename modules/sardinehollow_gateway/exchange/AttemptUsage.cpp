#include "sardinehollow_gateway/exchange/AttemptUsage.h"

namespace sardinehollow::gateway {

AttemptUsage::AttemptUsage(routing::QuotaGate &gate, routing::DemandMeter &meter)
    : m_gate(gate)
    , m_meter(meter)
{ }

AttemptUsage::~AttemptUsage()
{
    abandon(true);
}

void AttemptUsage::begin(const routing::Team *team, const std::string &service,
                         const std::string &region, core::Instant now)
{
    abandon(true);
    m_isOpen = true;
    m_team = team;
    m_service = service;
    m_region = region;
    m_sentAt = now;
    m_meter.onSent(service, region);
    if (team)
        m_gate.onSent(*team, now);
}

void AttemptUsage::complete(core::Instant now)
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_meter.onEnded(m_service, m_region, now - m_sentAt);
}

void AttemptUsage::abandon(bool mayHaveRun)
{
    if (!m_isOpen)
        return;
    m_isOpen = false;
    m_meter.onEnded(m_service, m_region, core::Duration {0});
    if (m_team && !mayHaveRun)
        m_gate.onNotRun(*m_team);
}

} // namespace sardinehollow::gateway
