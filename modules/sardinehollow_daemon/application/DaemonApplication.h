#pragma once

#include "sardinehollow_config/settings/DaemonSettings.h"
#include "sardinehollow_configuration_store/store/ConfigurationStore.h"
#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_daemon/claims/RoutingClaimGate.h"
#include "sardinehollow_daemon/claims/StoreClaimGate.h"
#include "sardinehollow_daemon/configuration/ReplicationService.h"
#include "sardinehollow_daemon/peers/PeerService.h"
#include "sardinehollow_daemon/scheduling/PeriodicTask.h"
#include "sardinehollow_daemon/status/PoolLog.h"
#include "sardinehollow_daemon/steering/ShiftService.h"
#include "sardinehollow_daemon/steering/SteeringExchange.h"
#include "sardinehollow_entry/server/EntryServer.h"
#include "sardinehollow_entry/server/OperatorServer.h"
#include "sardinehollow_entry/status/StatusSource.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_peer/transport/ZmqTransport.h"
#include "sardinehollow_platform/etcd/EtcdStore.h"
#include "sardinehollow_platform/vms/HttpVmList.h"

#include <memory>

namespace sardinehollow::daemon {

/** Owns all services of one daemon, and starts and stops them in order. */
class DaemonApplication : public entry::StatusSource
{
public:
    /** Starts all listeners; throws Poco::Exception if an address cannot be bound. */
    DaemonApplication(config::DaemonSettings settings, spdlog::sink_ptr logSink);
    ~DaemonApplication() override;

    /** Announces that the daemon leaves and blocks until all requests in flight are finished. */
    void drain();

    bool isReady() const override;
    std::string statusJson() const override;
    std::string metricsText() const override;

private:
    void startServers();
    void startTasks();
    void advancePolicy();
    void markReady();
    /** Passes changes of peers and configuration to the claim gate and sends its due calls. */
    void advanceClaims();
    void waitUntilIdle();
    /** Returns the lowest configuration generation in a failure domain; 0 if it is unknown. */
    std::uint64_t lowestGeneration(const std::string &failureDomain) const;

    const config::DaemonSettings m_settings;
    const std::uint64_t m_incarnation;
    core::SystemClock m_clock;
    logging::EventLog m_log;
    PoolLog m_poolLog;
    platform::EtcdStore m_store;
    platform::HttpVmList m_vmList;
    policy::SteeringPolicy m_policy;
    entry::Metrics m_metrics;
    StoreClaimGate m_storeClaims;
    StoreClaimJournal m_claimJournal;
    RoutingClaimGate m_claims;
    entry::EntryServices m_services;
    configuration_store::ConfigurationStore m_configurationStore;
    peer::ZmqTransport m_transport;
    PeerService m_peers;
    ReplicationService m_replication;
    SteeringExchange m_steering;
    ShiftService m_shifts;
    std::atomic<bool> m_leaving {false};
    /** Whether the hold-off after the start is over. */
    std::atomic<bool> m_isHoldOffOver {false};
    std::unique_ptr<entry::OperatorServer> m_operatorServer;
    std::unique_ptr<entry::EntryServer> m_entryServer;
    std::vector<std::unique_ptr<PeriodicTask>> m_tasks;
};

} // namespace sardinehollow::daemon
