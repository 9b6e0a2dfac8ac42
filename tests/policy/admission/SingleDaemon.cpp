#include "SingleDaemon.h"

namespace sardinehollow::tests {

using namespace std::chrono_literals;

SingleDaemon::SingleDaemon(std::vector<std::uint32_t> slots, policy::PolicySettings settings)
    : policy(settings)
{
    configuration.ranks = {{"0", 0.0, 200ms}, {"1", 0.25, 2s}, {"2", 0.125, 60s}};
    configuration.regions = {"r"};
    configuration.failureDomains = {{"d", "r"}};
    configuration.pools.push_back({"main", 400, {}});
    for (std::size_t rank = 0; rank < 3; ++rank) {
        config::WorkKind kind;
        kind.name = std::to_string(rank);
        kind.rank = kind.name;
        kind.pool = "main";
        kind.idempotent = rank != 1;
        kind.queueLimit = 50;
        configuration.workKinds.push_back(kind);
    }
    for (const std::uint32_t count : slots)
        configuration.pools.front().backendServers.push_back(
                {"s" + std::to_string(configuration.pools.front().backendServers.size() + 1), "a",
                 "d", count});
    apply();
    auto view = std::make_shared<policy::PeerView>();
    policy::Peer peer;
    peer.vm = "vm";
    peer.region = "r";
    peer.failureDomain = "d";
    view->peers.push_back(peer);
    policy.onPeers(view);
    advanceTime(10ms);
}

policy::PolicySettings SingleDaemon::immediateAdmissionSettings()
{
    policy::PolicySettings settings;
    settings.ownershipHoldOff = 0s;
    settings.refuseEarly = false;
    settings.urgentHeadroom = -1.0;
    return settings;
}

void SingleDaemon::apply()
{
    ++configuration.generation;
    policy.applyConfiguration(std::make_shared<const config::Configuration>(configuration));
}

policy::Decision SingleDaemon::offer(std::size_t rank, core::Duration remaining,
                                     std::uint64_t caller, std::uint64_t fingerprint)
{
    policy::RequestOffer offer;
    offer.id = {1, ++m_sequence};
    offer.workKind = std::to_string(rank);
    offer.callerHash = caller;
    offer.fingerprint = fingerprint;
    offer.arrival = now;
    offer.deadline = now + remaining;
    return policy.offer(offer);
}

std::vector<policy::Decision> SingleDaemon::complete(const core::RequestId &id,
                                                     policy::AttemptOutcome outcome,
                                                     core::Duration latency)
{
    policy::AttemptReport report;
    report.id = id;
    report.outcome = outcome;
    report.now = now;
    report.latency = latency;
    return policy.complete(report);
}

std::vector<policy::Decision> SingleDaemon::advanceTime(core::Duration duration)
{
    std::vector<policy::Decision> decisions;
    for (const core::Instant until = now + duration; now < until;) {
        now += 10ms;
        for (policy::Decision &decision : policy.advance(now))
            decisions.push_back(std::move(decision));
    }
    return decisions;
}

void SingleDaemon::report(const std::string &server, std::uint32_t inFlight, std::uint32_t slots,
                          bool leaving)
{
    policy.onBackendReport({server, inFlight, slots, leaving, now});
}

void SingleDaemon::addServer(std::uint32_t slots)
{
    auto &servers = configuration.pools.front().backendServers;
    servers.push_back({"s" + std::to_string(servers.size() + 1), "a", "d", slots});
    apply();
}

std::uint32_t SingleDaemon::fill(std::size_t rank)
{
    std::uint32_t started = 0;
    while (offer(rank).kind == policy::DecisionKind::Dispatch)
        ++started;
    return started;
}

policy::PoolStatus SingleDaemon::status() const
{
    return policy.statuses(now).front();
}

std::uint32_t SingleDaemon::limit(const std::string &server) const
{
    for (const policy::PoolStatus::Server &item : status().servers) {
        if (item.name == server)
            return item.limit;
    }
    return 0;
}

} // namespace sardinehollow::tests
