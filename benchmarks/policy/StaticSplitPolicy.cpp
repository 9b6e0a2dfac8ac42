#include "StaticSplitPolicy.h"

#include <array>

namespace sardinehollow::bench {

namespace {

// Prefixes of the names of the servers that are dedicated to each work kind, by its index.
constexpr std::array<std::array<std::string_view, 2>, 3> serverPrefixes {
        {{"lookup", "lookup"}, {"posting", "booking"}, {"archive", "recording"}}};

} // namespace

policy::Decision StaticSplitPolicy::offer(const policy::RequestOffer &request)
{
    m_queues.resize(configuration().workKinds.size());
    std::deque<policy::RequestOffer> &queue = m_queues[kindOf(request.workKind)];
    if (queue.empty()) {
        policy::Decision decision = BaselinePolicy::offer(request);
        if (decision.kind == policy::DecisionKind::Dispatch) {
            m_servers[request.id] = decision.backendServer;
            ++m_inFlight[decision.backendServer];
            return decision;
        }
    }
    policy::Decision decision;
    decision.id = request.id;
    if (queue.size() >= configuration().workKinds[kindOf(request.workKind)].queueLimit)
        decision.kind = policy::DecisionKind::Refuse;
    else
        queue.push_back(request);
    return decision;
}

std::vector<policy::Decision> StaticSplitPolicy::complete(const policy::AttemptReport &report)
{
    const auto found = m_servers.find(report.id);
    if (found == m_servers.end())
        return {};
    --m_inFlight[found->second];
    m_servers.erase(found);
    std::vector<policy::Decision> decisions = BaselinePolicy::complete(report);
    for (policy::Decision &decision : advance(report.now))
        decisions.push_back(std::move(decision));
    return decisions;
}

std::vector<policy::Decision> StaticSplitPolicy::advance(core::Instant now)
{
    std::vector<policy::Decision> decisions;
    for (std::deque<policy::RequestOffer> &queue : m_queues) {
        while (!queue.empty()) {
            policy::Decision decision;
            decision.id = queue.front().id;
            decision.kind = policy::DecisionKind::Refuse;
            decision.reason = policy::RefusalReason::DeadlinePassed;
            if (queue.front().deadline > now) {
                decision = BaselinePolicy::offer(queue.front());
                if (decision.kind != policy::DecisionKind::Dispatch)
                    break;
                m_servers[decision.id] = decision.backendServer;
                ++m_inFlight[decision.backendServer];
            }
            decisions.push_back(decision);
            queue.pop_front();
        }
    }
    return decisions;
}

const config::BackendServer *StaticSplitPolicy::choose(const policy::RequestOffer &request)
{
    const auto &prefixes = serverPrefixes.at(kindOf(request.workKind));
    const config::BackendServer *best = nullptr;
    std::uint32_t bestFree = 0;
    for (const config::BackendServer &server : usableServers()) {
        const bool isDedicated
                = server.name.starts_with(prefixes[0]) || server.name.starts_with(prefixes[1]);
        const std::uint32_t slots = localSlots(server);
        const auto used = m_inFlight.find(server.name);
        const std::uint32_t inFlight = used == m_inFlight.end() ? 0 : used->second;
        if (!isDedicated || inFlight >= slots || slots - inFlight <= bestFree)
            continue;
        best = &server;
        bestFree = slots - inFlight;
    }
    return best;
}

std::uint32_t StaticSplitPolicy::localSlots(const config::BackendServer &server) const
{
    std::uint32_t daemons = 0;
    std::uint32_t position = 0;
    for (const policy::Peer &peer : peers().peers) {
        if (peer.failureDomain != server.failureDomain)
            continue;
        if (peer.vm == peers().local().vm)
            position = daemons;
        ++daemons;
    }
    if (daemons == 0 || server.failureDomain != peers().local().failureDomain)
        return 0;
    return server.slots / daemons + (position < server.slots % daemons ? 1 : 0);
}

std::size_t StaticSplitPolicy::kindOf(const std::string &workKind) const
{
    std::size_t index = 0;
    while (configuration().workKinds[index].name != workKind)
        ++index;
    return index;
}

} // namespace sardinehollow::bench
