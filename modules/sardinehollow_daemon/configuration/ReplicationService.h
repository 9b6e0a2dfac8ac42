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

/** Runs the local replica of the configuration and applies the generations that it adopts. */
class ReplicationService : public peer::MessageListener, public platform::WatchListener
{
public:
    ReplicationService(configuration_store::ConfigurationStore &configurations,
                       platform::KeyValueStore &store, policy::SteeringPolicy &policy,
                       peer::ZmqTransport &transport, const PeerService &peers,
                       const core::MonotonicClock &clock, logging::EventLog &log,
                       std::uint64_t seed);

    /** Starts the periodic work. The transport must be running. */
    void start();
    /** Stops the periodic work and the watch, and discards queued tasks. */
    void stop();

    void onMessage(const peer::wire::Envelope &envelope) override;
    void onChanged(const std::vector<platform::KeyValue> &keyValues,
                   std::int64_t revision) override;
    void onEnded(const core::Error &reason) override;

    /** Adds whether the store is watched, and its last known generation, to a status object. */
    void addStatus(Poco::JSON::Object &object) const;
    std::string metricsText() const;

private:
    void advance();
    peer::ReplicaRoster makeRoster() const;
    void execute(peer::ReplicaActions actions);
    /** Reads the head from the store and watches it from the head's revision on. */
    void startWatch();
    void readPart(const std::string &digest);
    void apply(const peer::ReplicaContent &content);
    /** Notifies the replica that the store cannot be watched; logs only the first failure. */
    void onStoreLost(const core::Error &reason);

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
    bool m_isStopped = false;
    bool m_isStoreUnavailable = false;
    // Used only by the thread of m_applyTasks.
    config::PartJoiner m_joiner;
    // Used only by the thread of m_storeTasks, and by stop() after that thread has ended.
    std::unique_ptr<platform::Watch> m_watch;
    std::unique_ptr<TaskQueue> m_storeTasks;
    std::unique_ptr<TaskQueue> m_applyTasks;
    std::unique_ptr<PeriodicTask> m_advanceTask;
};

} // namespace sardinehollow::daemon
