#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <benchmark/benchmark.h>

#include <deque>

namespace {

using namespace sardinehollow;
using namespace std::chrono_literals;

constexpr std::uint32_t queueLimit = 1'000'000;
constexpr std::uint64_t callerCount = 500;

std::shared_ptr<const config::Configuration> makeConfiguration(int serverCount)
{
    auto configuration = std::make_shared<config::Configuration>();
    configuration->generation = 1;
    configuration->ranks = {{"urgent", 0.0, 1h}, {"middle", 0.2, 1h}, {"bulk", 0.1, 1h}};
    configuration->regions = {"r"};
    configuration->failureDomains = {{"d", "r"}};
    configuration->pools.push_back({"main", 400, {}});
    for (int index = 0; index < serverCount; ++index)
        configuration->pools.front().backendServers.push_back(
                {"s" + std::to_string(index), "a", "d", 6});
    for (const config::RankDefinition &rank : configuration->ranks) {
        config::WorkKind kind;
        kind.name = rank.name;
        kind.rank = rank.name;
        kind.pool = "main";
        kind.queueLimit = queueLimit;
        configuration->workKinds.push_back(kind);
    }
    return configuration;
}

/** A policy whose slots are all in use, with the given number of queued requests. */
class LoadedPolicy
{
public:
    LoadedPolicy(int serverCount, std::int64_t queued)
        : m_policy(settings())
    {
        m_policy.applyConfiguration(makeConfiguration(serverCount));
        auto view = std::make_shared<policy::PeerView>();
        policy::Peer peer;
        peer.vm = "vm";
        peer.failureDomain = "d";
        view->peers.push_back(peer);
        m_policy.onPeers(view);
        m_policy.advance(m_now);
        for (std::int64_t waiting = 0; waiting < queued;) {
            if (offer().kind == policy::DecisionKind::Hold)
                ++waiting;
        }
    }

    policy::Decision offer()
    {
        policy::RequestOffer request;
        request.id = {1, ++m_sequence};
        request.workKind = names[m_sequence % names.size()];
        request.callerHash = m_sequence % callerCount;
        request.fingerprint = m_sequence;
        request.arrival = m_now;
        request.deadline = m_now + 1h;
        policy::Decision decision = m_policy.offer(request);
        if (decision.kind == policy::DecisionKind::Dispatch)
            m_running.push_back(request.id);
        return decision;
    }

    void completeOldest()
    {
        policy::AttemptReport report;
        report.id = m_running.front();
        m_running.pop_front();
        report.now = m_now;
        report.latency = 20ms;
        for (const policy::Decision &decision : m_policy.complete(report)) {
            if (decision.kind == policy::DecisionKind::Dispatch)
                m_running.push_back(decision.id);
        }
        m_now += 1us;
    }

private:
    static policy::PolicySettings settings()
    {
        policy::PolicySettings settings;
        settings.ownershipHoldOff = 0s;
        // The benchmark measures decisions only and does not call advance(), which renews the
        // lease.
        settings.ownershipLease = 24h;
        settings.refuseEarly = false;
        return settings;
    }

    inline static const std::array<std::string, 3> names {"urgent", "middle", "bulk"};

    policy::SteeringPolicy m_policy;
    core::Instant m_now = 1s;
    std::uint64_t m_sequence = 0;
    std::deque<core::RequestId> m_running;
};

// One attempt ends, which starts a queued request, and one request arrives and joins the queue.
void admit(benchmark::State &state)
{
    LoadedPolicy policy(static_cast<int>(state.range(0)), state.range(1));
    for (auto _ : state) {
        policy.completeOldest();
        benchmark::DoNotOptimize(policy.offer());
    }
    // Each iteration makes two decisions.
    state.SetItemsProcessed(2 * state.iterations());
}

BENCHMARK(admit)
        ->ArgNames({"servers", "queued"})
        ->Args({4, 1})
        ->Args({4, 10000})
        ->Args({12, 10000});

} // namespace

BENCHMARK_MAIN();
