#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include "sardinehollow_policy/lookup/CallerHash.h"
#include "sardinehollow_policy/lookup/ClientBlockChanges.h"

#include <mutex>

namespace sardinehollow::policy {

namespace {

void append(std::vector<Decision> &decisions, std::vector<Decision> added)
{
    decisions.insert(decisions.end(), std::make_move_iterator(added.begin()),
                     std::make_move_iterator(added.end()));
}

std::shared_ptr<const ClientBlockTable> buildBlockTable(const config::Configuration *current,
                                                        const ClientBlockTable *table,
                                                        const config::Configuration &next)
{
    if (current != nullptr && table != nullptr) {
        const auto changes = clientBlockChanges(current->clientBlocks, next.clientBlocks);
        if (changes)
            return std::make_shared<const ClientBlockTable>(
                    table->withChanges(next.clientBlocks, *changes));
    }
    return std::make_shared<const ClientBlockTable>(next.clientBlocks);
}

} // namespace

SteeringPolicy::SteeringPolicy(const PolicySettings &settings)
    : m_settings(settings)
    , m_quarantine(m_settings)
{ }

bool SteeringPolicy::applyConfiguration(
        const std::shared_ptr<const config::Configuration> &configuration)
{
    // The table is built outside the lock, so that look-ups are not blocked meanwhile.
    const std::shared_ptr<const Snapshot> current = snapshot();
    auto blockTable = buildBlockTable(current->configuration.get(), current->blockTable.get(),
                                      *configuration);
    const std::unique_lock lock(m_mutex);
    const bool newer = !m_snapshot->configuration
            || configuration->generation > m_snapshot->configuration->generation;
    if (!newer)
        return false;
    Snapshot next = *m_snapshot;
    next.configuration = configuration;
    next.blockTable = std::move(blockTable);
    for (const config::BackendPool &pool : configuration->pools) {
        std::shared_ptr<PoolShard> &shard = next.shards[pool.name];
        if (!shard)
            shard = std::make_shared<PoolShard>(pool.name, m_settings, m_quarantine);
    }
    publish(std::move(next));
    return true;
}

void SteeringPolicy::onPeers(const std::shared_ptr<const PeerView> &peers)
{
    const std::unique_lock lock(m_mutex);
    Snapshot next = *m_snapshot;
    next.peers = peers;
    publish(std::move(next));
}

void SteeringPolicy::setShiftFractions(ShiftFractions fractions)
{
    const std::unique_lock lock(m_mutex);
    Snapshot next = *m_snapshot;
    if (next.shiftFractions == fractions)
        return;
    next.shiftFractions = std::move(fractions);
    publish(std::move(next));
}

LookupAnswer SteeringPolicy::lookUp(const std::string &workKind,
                                    const core::IpAddress &caller) const
{
    const std::shared_ptr<const Snapshot> current = snapshot();
    if (!current->planner)
        return {};
    return current->planner->plan(workKind, callerHash(caller), current->blockTable->site(caller));
}

std::string SteeringPolicy::homeRegion(const core::IpAddress &caller) const
{
    const std::shared_ptr<const Snapshot> current = snapshot();
    if (!current->planner)
        return {};
    return current->planner->homeRegion(current->blockTable->site(caller));
}

Decision SteeringPolicy::offer(const RequestOffer &request)
{
    const std::shared_ptr<const Snapshot> current = snapshot();
    if (!current->configuration || !current->peers) {
        Decision decision;
        decision.id = request.id;
        decision.kind = DecisionKind::Refuse;
        decision.reason = RefusalReason::NoConfiguration;
        return decision;
    }
    const config::WorkKind *kind = current->configuration->workKind(request.workKind);
    if (kind == nullptr) {
        Decision decision;
        decision.id = request.id;
        decision.kind = DecisionKind::Refuse;
        decision.reason = RefusalReason::UnknownWorkKind;
        return decision;
    }
    return current->shards.at(kind->pool)->offer(request);
}

std::vector<Decision> SteeringPolicy::complete(const AttemptReport &report)
{
    const std::shared_ptr<const Snapshot> current = snapshot();
    for (const auto &[name, shard] : current->shards) {
        std::vector<Decision> decisions = shard->complete(report);
        if (!decisions.empty())
            return decisions;
    }
    return {};
}

std::vector<Decision> SteeringPolicy::cancel(const core::RequestId &id)
{
    std::vector<Decision> decisions;
    const std::shared_ptr<const Snapshot> current = snapshot();
    for (const auto &[name, shard] : current->shards)
        append(decisions, shard->cancel(id));
    return decisions;
}

std::vector<Decision> SteeringPolicy::advance(core::Instant now)
{
    std::vector<Decision> decisions;
    const std::shared_ptr<const Snapshot> current = snapshot();
    for (const auto &[name, shard] : current->shards)
        append(decisions, shard->advance(now));
    return decisions;
}

void SteeringPolicy::onBackendReport(const BackendReport &report)
{
    const std::shared_ptr<const Snapshot> current = snapshot();
    for (const auto &[name, shard] : current->shards)
        shard->onBackendReport(report);
}

std::vector<PoolSummary> SteeringPolicy::summaries(core::Instant now) const
{
    std::vector<PoolSummary> summaries;
    const std::shared_ptr<const Snapshot> current = snapshot();
    if (!current->configuration || !current->peers)
        return summaries;
    for (const auto &[name, shard] : current->shards)
        summaries.push_back(shard->summary(now));
    return summaries;
}

void SteeringPolicy::onSummaries(const std::vector<PoolSummary> &summaries, core::Instant now)
{
    const std::shared_ptr<const Snapshot> current = snapshot();
    for (const PoolSummary &summary : summaries) {
        const auto shard = current->shards.find(summary.pool);
        if (shard != current->shards.end())
            shard->second->onSummary(summary, now);
    }
}

std::vector<QuarantineEntry> SteeringPolicy::quarantine(core::Instant now) const
{
    return m_quarantine.localEntries(now);
}

void SteeringPolicy::onQuarantine(const std::vector<QuarantineEntry> &entries, core::Instant now)
{
    m_quarantine.merge(entries, now);
}

bool SteeringPolicy::isAdmitting(core::Instant now) const
{
    for (const PoolStatus &status : statuses(now)) {
        if (!status.admitting)
            return false;
        for (const PoolStatus::Server &server : status.servers) {
            if (server.state == ServerState::HoldOff)
                return false;
        }
    }
    return true;
}

std::vector<PoolStatus> SteeringPolicy::statuses(core::Instant now) const
{
    std::vector<PoolStatus> statuses;
    const std::shared_ptr<const Snapshot> current = snapshot();
    if (!current->configuration || !current->peers)
        return statuses;
    for (const auto &[name, shard] : current->shards)
        statuses.push_back(shard->status(now));
    return statuses;
}

std::shared_ptr<const config::Configuration> SteeringPolicy::configuration() const
{
    return snapshot()->configuration;
}

std::shared_ptr<const PeerView> SteeringPolicy::peers() const
{
    return snapshot()->peers;
}

std::shared_ptr<const SteeringPolicy::Snapshot> SteeringPolicy::snapshot() const
{
    const std::shared_lock lock(m_mutex);
    return m_snapshot;
}

void SteeringPolicy::publish(Snapshot next)
{
    if (next.configuration && next.peers) {
        for (const auto &[name, shard] : next.shards)
            shard->update(next.configuration, next.peers);
        next.planner = std::make_shared<const LookupPlanner>(next.configuration, *next.peers,
                                                             next.shiftFractions);
    }
    m_snapshot = std::make_shared<const Snapshot>(std::move(next));
}

} // namespace sardinehollow::policy
