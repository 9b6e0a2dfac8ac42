#pragma once

#include "sardinehollow_config/parts/PartJoiner.h"
#include "sardinehollow_configuration_store/store/ConfigurationStore.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_daemon/peers/PeerService.h"
#include "sardinehollow_daemon/scheduling/TaskQueue.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_peer/replication/ConfigurationReplica.h"

#include <memory>
#include <mutex>

namespace sardinehollow::daemon {

/** Runs the replica of the configuration and puts what it adopts in force. */
class ReplicationService : public peer::MessageListener, public platform::WatchListener
{
public:
    ReplicationService(configuration_store::ConfigurationStore &configurations,
                       platform::KeyValueStore &store, policy::SteeringPolicy &policy,
                       peer::ZmqTransport &transport, const PeerService &peers,
                       const core::MonotonicClock &clock, logging::EventLog &log,
                       std::uint64_t seed);

    /** Starts the periodic work; the transport must run already. */
    void start();
    /** Ends the periodic work and the watch. */
    void stop();

    void onMessage(const peer::wire::Envelope &envelope) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues,
                   std::int64_t revision) override;
    void onEnded(const core::Error &reason) override;

    /** Adds what is known of the store to a status object. */
    void addStatus(Poco::JSON::Object &object) const;
    std::string metricsText() const;

private:
    void tick();
    peer::ReplicaRoster makeRoster() const;
    void execute(peer::ReplicaActions actions);
    void follow();
    void readPart(const std::string &digest);
    void apply(const peer::ReplicaContent &content);
    /** Tells the replica that the store cannot be followed; logs the first time. */
    void loseStore(const core::Error &reason);

    configuration_store::ConfigurationStore &m_configurations;
    platform::KeyValueStore &m_store;
    policy::SteeringPolicy &m_policy;
    peer::ZmqTransport &m_transport;
    const PeerService &m_peers;
    const core::MonotonicClock &m_clock;
    logging::EventLog &m_log;
    core::SeededRandom m_random;
    mutable std::mutex m_mutex;
    peer::ConfigurationReplica m_replica;
    bool m_stopped = false;
    bool m_isStoreLost = false;
    // Used by the thread that applies configurations only.
    config::PartJoiner m_joiner;
    // Used by the store's thread only.
    std::unique_ptr<platform::Watch> m_watch;
    std::unique_ptr<TaskQueue> m_storeTasks;
    std::unique_ptr<TaskQueue> m_applyTasks;
    std::unique_ptr<PeriodicTask> m_ticks;
};

} // namespace sardinehollow::daemon
