#pragma once

#include "AdmissionPolicy.h"

#include <map>
#include <set>

namespace sardinehollow::bench {

/**
 * Base class of the baseline policies. Tracks the configuration, the live peers and the leaving
 * servers; neither queues nor forwards requests.
 */
class BaselinePolicy : public AdmissionPolicy
{
public:
    void
    applyConfiguration(const std::shared_ptr<const config::Configuration> &configuration) override;
    void onPeers(const std::shared_ptr<const policy::PeerView> &peers) override;
    policy::Decision offer(const policy::RequestOffer &request) override;
    std::vector<policy::Decision> complete(const policy::AttemptReport &report) override;
    std::vector<policy::Decision> advance(core::Instant now) override;
    void onBackendReport(const policy::BackendReport &report) override;
    std::vector<policy::PoolSummary> summaries(core::Instant) override { return {}; }
    void onSummaries(const std::vector<policy::PoolSummary> &, core::Instant) override { }
    std::vector<policy::QuarantineEntry> quarantine(core::Instant) override { return {}; }
    void onQuarantine(const std::vector<policy::QuarantineEntry> &, core::Instant) override { }

protected:
    /** Chooses a server of usableServers() for the request, or nullptr. */
    virtual const config::BackendServer *choose(const policy::RequestOffer &request) = 0;

    const config::Configuration &configuration() const { return *m_configuration; }
    const policy::PeerView &peers() const { return *m_peers; }
    /** Servers of the local region that are not leaving; of the other regions if there are none. */
    const std::vector<config::BackendServer> &usableServers() const { return m_usable; }
    const std::map<std::string, policy::BackendReport> &reports() const { return m_reports; }

private:
    void update();

    std::shared_ptr<const config::Configuration> m_configuration;
    std::shared_ptr<const policy::PeerView> m_peers;
    std::set<std::string> m_leaving;
    std::vector<config::BackendServer> m_usable;
    std::map<std::string, policy::BackendReport> m_reports;
    std::set<core::RequestId> m_running;
};

} // namespace sardinehollow::bench
