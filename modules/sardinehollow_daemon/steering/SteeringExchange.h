#pragma once

#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_daemon/scheduling/PeriodicTask.h"
#include "sardinehollow_daemon/steering/QuarantineAnnouncer.h"
#include "sardinehollow_daemon/steering/SummaryAnnouncer.h"
#include "sardinehollow_peer/transport/MessageListener.h"
#include "sardinehollow_peer/transport/PeerTransport.h"
#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace sardinehollow::daemon {

/**
 * Announces the local policy's pool summaries and quarantined fingerprints to the other daemons,
 * and validates those received before it passes them to the policy.
 */
class SteeringExchange : public peer::MessageListener
{
public:
    SteeringExchange(policy::SteeringPolicy &policy, peer::PeerTransport &transport,
                     const core::MonotonicClock &clock);

    /** Starts the periodic work. The transport must be running. */
    void start();
    void stop();
    /** Sends the summaries and notices that are due. */
    void advance();

    void onMessage(const peer::wire::Envelope &envelope) override;

    std::string metricsText() const;

private:
    void onSummaries(const std::string &sender, const peer::wire::PoolSummaries &message);
    void onQuarantine(const std::string &sender, const peer::wire::QuarantineNotice &message);

    policy::SteeringPolicy &m_policy;
    peer::PeerTransport &m_transport;
    const core::MonotonicClock &m_clock;
    std::mutex m_mutex;
    SummaryAnnouncer m_summaryAnnouncer;
    QuarantineAnnouncer m_quarantineAnnouncer;
    std::atomic<std::uint64_t> m_sentSummaries {0};
    std::atomic<std::uint64_t> m_sentNotices {0};
    std::atomic<std::uint64_t> m_droppedSummaries {0};
    std::atomic<std::uint64_t> m_droppedFingerprints {0};
    std::unique_ptr<PeriodicTask> m_advanceTask;
};

} // namespace sardinehollow::daemon
