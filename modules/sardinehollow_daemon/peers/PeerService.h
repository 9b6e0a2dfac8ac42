#pragma once

#include "sardinehollow_config/settings/DaemonSettings.h"
#include "sardinehollow_core/time/MonotonicClock.h"
#include "sardinehollow_daemon/scheduling/PeriodicTask.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_peer/membership/Membership.h"
#include "sardinehollow_peer/transport/ZmqTransport.h"
#include "sardinehollow_platform/vms/VmList.h"
#include "sardinehollow_policy/facade/SteeringPolicy.h"

#include <Poco/JSON/Object.h>

#include <memory>
#include <mutex>
#include <vector>

namespace sardinehollow::daemon {

/** Runs the membership protocol over the transport and updates the policy's view of the peers. */
class PeerService : public peer::MessageListener
{
public:
    PeerService(const config::DaemonSettings &settings, platform::VmList &vmList,
                policy::SteeringPolicy &policy, peer::ZmqTransport &transport,
                const core::MonotonicClock &clock, logging::EventLog &log,
                std::uint64_t incarnation);

    /** Starts the periodic work. The transport must be running. */
    void start();
    void stop();
    /** Announces to the peers at once that the local daemon is leaving. */
    void leave();

    void onMessage(const peer::wire::Envelope &envelope) override;

    /**
     * Whether the hold-off after a start or a pause ended long enough ago for the peers to have
     * been notified.
     */
    bool hasJoined() const;
    /**
     * Sets the claim scope announced to the peers: the prefix that callers of this failure domain
     * use for their idempotency keys.
     */
    void setClaimScope(const std::string &scope);
    /** Calls a function with the membership while its lock is held, and returns the result. */
    template <typename Function>
    auto withMembership(Function function) const
    {
        const std::lock_guard lock(m_mutex);
        return function(m_membership);
    }
    /**
     * Adds the membership state, the known daemons and the other failure domains to a status
     * object.
     */
    void addStatus(Poco::JSON::Object &object) const;
    std::string metricsText() const;

private:
    void advance();
    void readVmList();
    /** Logs when the platform's list of VMs becomes unavailable or available again. */
    void logVmListState(bool isAvailable, const std::string &error);
    /** m_mutex must be held. */
    void publish(peer::OutgoingMessages messages);
    void publishAddresses();

    platform::VmList &m_vmList;
    policy::SteeringPolicy &m_policy;
    peer::ZmqTransport &m_transport;
    const core::MonotonicClock &m_clock;
    logging::EventLog &m_log;
    mutable std::mutex m_mutex;
    peer::Membership m_membership;
    std::string m_claimScope;
    std::shared_ptr<const policy::PeerView> m_publishedView;
    std::map<std::string, std::string> m_publishedAddresses;
    std::uint64_t m_publishedIncarnation;
    /** Accessed only by the VM list task, therefore not guarded by m_mutex. */
    bool m_isVmListUnavailable = false;
    std::vector<std::unique_ptr<PeriodicTask>> m_tasks;
};

} // namespace sardinehollow::daemon
