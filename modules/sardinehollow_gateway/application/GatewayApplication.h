#pragma once

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_gateway/application/EntryTracker.h"
#include "sardinehollow_gateway/application/GatewaySettings.h"
#include "sardinehollow_gateway/application/OperatorTracker.h"
#include "sardinehollow_gateway/application/PrefixDispatcher.h"
#include "sardinehollow_gateway/application/ProcessRequests.h"
#include "sardinehollow_gateway/application/ServerTracker.h"
#include "sardinehollow_gateway/application/StoreSchema.h"
#include "sardinehollow_gateway/exchange/ExchangeFactory.h"
#include "sardinehollow_gateway/peers/PeerChannel.h"
#include "sardinehollow_gateway/peers/UsageExchange.h"
#include "sardinehollow_gateway/sharing/SharedMirror.h"
#include "sardinehollow_network/loop/BootClock.h"
#include "sardinehollow_network/server/QueryListener.h"
#include "sardinehollow_network/server/ServerListener.h"
#include "sardinehollow_platform/lease/LeasedKey.h"

#include <functional>
#include <memory>

namespace sardinehollow::gateway {

/** The daemon that serves a platform's callers: object wiring, startup and graceful shutdown. */
class GatewayApplication
{
public:
    /** Throws Poco::Exception if a listener cannot be bound to an address of the settings. */
    GatewayApplication(GatewaySettings settings, const WireProtocol &protocol,
                       const StoreSchema &schema, platform::KeyValueStore &store,
                       ProcessRequests &requests, spdlog::sink_ptr logSink);
    ~GatewayApplication();

    /** Runs the event loop until a requested stop has completed. */
    void run();

private:
    void startListeners();
    std::unique_ptr<network::QueryListener>
    makeQueryListener(const std::string &address, network::QueryListener::Handler handler);
    void onAcceptFailed(const std::string &address, const std::string &reason);
    void onTick();
    /** Logs that timers run late, which delays requests as well. */
    void reportLoopDelay();
    /** Logs crashes of servers and quarantined requests. */
    void evaluateQuarantine();
    /** Logs changes of the load limits by rank. */
    void reportRankLimits();
    /** Publishes the crash reports of this daemon in its store entry. */
    void publishCrashReports();
    /** Writes the entry that directs callers here. */
    void publishEntry();
    /** Passes changes of the configuration and of the backend servers on to the exchange of usage.
     */
    void updateUsage();
    void onUsageTick();
    /** Takes a call about this daemon's entry that the store answered. */
    void onEntryContact(core::Instant startedAt, const platform::LeasedKey::Contact &contact);
    void onRenewalFailed(const core::Error &error);
    /** Begins a requested stop; answers a requested reload by a log line. */
    void checkRequests();
    /** Announces the shutdown: removes the daemon's entry, so that callers use other daemons. */
    void beginStop();
    /** Closes idle connections, refuses new requests towards the end, and stops the loop. */
    void advanceStop();
    bool isReady() const;
    network::QueryListener::Answer answerReadiness() const;
    network::QueryListener::Answer answerEntryQuery(const Poco::Net::HTTPRequest &request);
    std::string metricsText() const;

    const GatewaySettings m_settings;
    const WireProtocol &m_protocol;
    platform::KeyValueStore &m_store;
    ProcessRequests &m_requests;
    network::BootClock m_clock;
    core::SeededRandom m_random;
    network::EventLoop m_loop;
    logging::EventLog m_log;
    GatewayMetrics m_metrics;
    routing::RoutingState m_routing;
    BackendPool m_pool;
    GatewayServices m_services;
    ExchangeFactory m_exchangeFactory;
    OperatorTracker m_operatorTracker;
    ServerTracker m_serverTracker;
    EntryTracker m_entryTracker;
    std::unique_ptr<network::QueryListener> m_readinessListener;
    std::unique_ptr<network::QueryListener> m_directoryListener;
    std::unique_ptr<network::QueryListener> m_metricsListener;
    std::unique_ptr<network::ServerListener> m_callerListener;
    PrefixDispatcher m_dispatcher;
    PeerChannel m_peers;
    UsageExchange m_usage;
    std::unique_ptr<SharedMirror> m_mirror;
    std::unique_ptr<platform::LeasedKey> m_ownEntry;
    core::Instant m_usageUpdatedAt {0};
    core::Instant m_stoppingSince {0};
    std::uint64_t m_publishedReportCount = 0;
    core::Instant m_reportsPublishedAt {0};
    /** When the next tick is due; 0 before the first one. */
    core::Instant m_nextTickAt {0};
};

} // namespace sardinehollow::gateway
