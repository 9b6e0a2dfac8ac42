#pragma once

#include "BenchAttempt.h"
#include "EventQueue.h"
#include "sardinehollow_config/model/BackendServer.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_policy/facade/AttemptOutcome.h"
#include "sardinehollow_policy/facade/BackendReport.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <tuple>

namespace sardinehollow::bench {

/**
 * A simulated backend server. It runs requests in its slots, queues a few more and sheds the rest,
 * and can leave, slow down, crash or send false load reports.
 */
class FakeServer
{
public:
    using Attempt = std::shared_ptr<BenchAttempt>;
    /** Called when an attempt ends at the server, before the latency of the response. */
    using EndHandler = std::function<void(const Attempt &, policy::AttemptOutcome)>;

    /** Kind of false load report that the server sends. */
    enum class FalseReport { None, Full, Empty };

    FakeServer(EventQueue &events, const config::BackendServer &server, std::uint64_t seed);

    const config::BackendServer &server() const { return m_server; }
    void setEndHandler(EndHandler handler) { m_onEnd = std::move(handler); }
    void setSlowdown(double factor) { m_slowdown = factor; }
    void setFalseReport(FalseReport report) { m_falseReport = report; }
    void setLostResponses(double share) { m_lostResponses = share; }

    void arrive(const Attempt &attempt);
    void cancel(const Attempt &attempt);
    void leave() { m_leavingSince = m_events.now(); }
    void cancelLeave();
    void crash();
    void restart();

    policy::BackendReport report() const;
    std::size_t running() const { return m_running.size(); }
    std::uint64_t slotsExceeded() const { return m_slotsExceeded; }
    std::uint64_t requestsAfterLeave() const { return m_requestsAfterLeave; }

private:
    /** Orders by request and attempt, since an order by address would differ from run to run. */
    struct Earlier
    {
        bool operator()(const Attempt &left, const Attempt &right) const
        {
            return std::tie(left->id, left->number) < std::tie(right->id, right->number);
        }
    };
    using Running = std::set<Attempt, Earlier>;

    void run(const Attempt &attempt);
    void finish(const Attempt &attempt);
    void runQueued();

    EventQueue &m_events;
    config::BackendServer m_server;
    core::SeededRandom m_random;
    EndHandler m_onEnd;
    Running m_running;
    std::deque<Attempt> m_queue;
    std::optional<core::Instant> m_leavingSince;
    bool m_alive = true;
    double m_slowdown = 1.0;
    double m_lostResponses = 0.0;
    /** Number of further requests that run slowly because the server is cold. */
    std::uint32_t m_coldRuns = 0;
    FalseReport m_falseReport = FalseReport::None;
    std::uint64_t m_slotsExceeded = 0;
    std::uint64_t m_requestsAfterLeave = 0;
};

} // namespace sardinehollow::bench
