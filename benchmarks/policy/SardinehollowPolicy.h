#pragma once

#include "AdmissionPolicy.h"

namespace sardinehollow::bench {

/** The policy module under test, by default with the daemon's settings. */
class SardinehollowPolicy : public AdmissionPolicy
{
public:
    explicit SardinehollowPolicy(const policy::PolicySettings &settings = {})
        : m_policy(settings)
    { }

    void
    applyConfiguration(const std::shared_ptr<const config::Configuration> &configuration) override
    {
        m_policy.applyConfiguration(configuration);
    }
    void onPeers(const std::shared_ptr<const policy::PeerView> &peers) override
    {
        m_policy.onPeers(peers);
    }
    policy::Decision offer(const policy::RequestOffer &request) override
    {
        return m_policy.offer(request);
    }
    std::vector<policy::Decision> complete(const policy::AttemptReport &report) override
    {
        return m_policy.complete(report);
    }
    std::vector<policy::Decision> advance(core::Instant now) override
    {
        return m_policy.advance(now);
    }
    void onBackendReport(const policy::BackendReport &report) override
    {
        m_policy.onBackendReport(report);
    }
    std::vector<policy::PoolSummary> summaries(core::Instant now) override
    {
        return m_policy.summaries(now);
    }
    void onSummaries(const std::vector<policy::PoolSummary> &summaries, core::Instant now) override
    {
        m_policy.onSummaries(summaries, now);
    }
    std::vector<policy::QuarantineEntry> quarantine(core::Instant now) override
    {
        return m_policy.quarantine(now);
    }
    void onQuarantine(const std::vector<policy::QuarantineEntry> &entries,
                      core::Instant now) override
    {
        m_policy.onQuarantine(entries, now);
    }

private:
    policy::SteeringPolicy m_policy;
};

} // namespace sardinehollow::bench
