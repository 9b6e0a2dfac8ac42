#pragma once

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_gateway/application/EntryTracker.h"
#include "sardinehollow_gateway/application/GatewaySettings.h"
#include "sardinehollow_gateway/application/LoopMirror.h"
#include "sardinehollow_gateway/application/OperatorTracker.h"
#include "sardinehollow_gateway/application/PrefixDispatcher.h"
#include "sardinehollow_gateway/application/ServerTracker.h"
#include "sardinehollow_gateway/application/StoreSchema.h"
#include "sardinehollow_gateway/exchange/ExchangeFactory.h"
#include "sardinehollow_network/loop/BootClock.h"
#include "sardinehollow_network/server/QueryListener.h"
#include "sardinehollow_network/server/ServerListener.h"
#include "sardinehollow_platform/lease/LeasedKey.h"

#include <functional>
#include <memory>

namespace sardinehollow::gateway {

/** A daemon that serves callers of a platform: wiring, start and stop. */
class GatewayApplication
{
public:
    /** Throws Poco::Exception if an address of the settings cannot be used. */
    GatewayApplication(GatewaySettings settings, const WireProtocol &protocol,
                       const StoreSchema &schema, platform::KeyValueStore &store,
                       spdlog::sink_ptr logSink);
    ~GatewayApplication();

    /** Serves until the stop that requestStop() asked for has ended. */
    void run();
    /** May be called from a signal handler. */
    void requestStop();
    /** The settings changed; may be called from a signal handler. */
    void requestReload();

private:
    void startListeners();
    std::unique_ptr<network::QueryListener>
    makeQueryListener(const std::string &address, network::QueryListener::Handler handler);
    void onAcceptFailed(const std::string &address, const std::string &reason);
    void onTick();
    /** Tells the others of crashes that this daemon saw. */
    void publishCrashReports();
    void onRenewalFailed(const core::Error &error);
    void checkSignals();
    void beginStop();
    void advanceStop();
    bool isReady() const;
    network::QueryListener::Answer answerReadiness() const;
    network::QueryListener::Answer answerEntryQuery(const Poco::Net::HTTPRequest &request) const;
    std::string metricsText() const;

    const GatewaySettings m_settings;
    const WireProtocol &m_protocol;
    platform::KeyValueStore &m_store;
    network::BootClock m_clock;
    core::SeededRandom m_random;
    network::EventLoop m_loop;
    logging::EventLog m_log;
    GatewayMetrics m_metrics;
    routing::RoutingState m_routing;
    BackendPool m_pool;
    GatewayServices m_services;
    ExchangeFactory m_exchanges;
    OperatorTracker m_operator;
    ServerTracker m_servers;
    EntryTracker m_entries;
    std::unique_ptr<network::QueryListener> m_readiness;
    std::unique_ptr<network::QueryListener> m_directory;
    std::unique_ptr<network::QueryListener> m_metricsListener;
    std::unique_ptr<network::ServerListener> m_callers;
    PrefixDispatcher m_dispatcher;
    std::unique_ptr<LoopMirror> m_mirror;
    std::unique_ptr<platform::LeasedKey> m_ownEntry;
    std::atomic<bool> m_stopRequested {false};
    std::atomic<bool> m_reloadRequested {false};
    core::Instant m_stoppingSince {0};
    std::uint64_t m_publishedReports = 0;
    core::Instant m_reportsPublishedAt {0};
};

} // namespace sardinehollow::gateway
