#include "BaselinePolicy.h"

namespace sardinehollow::bench {

void BaselinePolicy::applyConfiguration(
        const std::shared_ptr<const config::Configuration> &configuration)
{
    m_configuration = configuration;
    update();
}

void BaselinePolicy::onPeers(const std::shared_ptr<const policy::PeerView> &peers)
{
    m_peers = peers;
    update();
}

policy::Decision BaselinePolicy::offer(const policy::RequestOffer &request)
{
    policy::Decision decision;
    decision.id = request.id;
    const config::BackendServer *server = choose(request);
    if (server == nullptr) {
        decision.kind = policy::DecisionKind::Refuse;
        decision.reason = policy::RefusalReason::NoCapacity;
        return decision;
    }
    m_running.insert(request.id);
    decision.kind = policy::DecisionKind::Dispatch;
    decision.backendServer = server->name;
    decision.attempt = 1;
    return decision;
}

std::vector<policy::Decision> BaselinePolicy::complete(const policy::AttemptReport &report)
{
    if (m_running.erase(report.id) == 0)
        return {};
    policy::Decision finished;
    finished.id = report.id;
    finished.kind = policy::DecisionKind::Finish;
    return {finished};
}

std::vector<policy::Decision> BaselinePolicy::advance(core::Instant)
{
    return {};
}

void BaselinePolicy::onBackendReport(const policy::BackendReport &report)
{
    m_reports[report.backendServer] = report;
    const bool changed = report.leaving ? m_leaving.insert(report.backendServer).second
                                        : m_leaving.erase(report.backendServer) > 0;
    if (changed)
        update();
}

void BaselinePolicy::update()
{
    m_usable.clear();
    if (!m_configuration || !m_peers)
        return;
    std::vector<config::BackendServer> far;
    for (const config::BackendServer &server : m_configuration->pools.front().backendServers) {
        const bool excluded = m_leaving.count(server.name) != 0
                || m_configuration->isFailureDomainDrained(server.failureDomain);
        if (excluded)
            continue;
        const bool isLocal
                = m_configuration->regionOf(server.failureDomain) == m_peers->local().region;
        (isLocal ? m_usable : far).push_back(server);
    }
    if (m_usable.empty())
        m_usable = std::move(far);
}

} // namespace sardinehollow::bench
