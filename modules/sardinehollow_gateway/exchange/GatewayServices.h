#pragma once

#include "sardinehollow_gateway/backend/BackendPool.h"
#include "sardinehollow_gateway/exchange/WireProtocol.h"
#include "sardinehollow_gateway/sharing/StoreKnowledge.h"
#include "sardinehollow_gateway/status/GatewayMetrics.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_network/server/ResponseBudget.h"
#include "sardinehollow_routing/demand/DemandMeter.h"
#include "sardinehollow_routing/quotas/QuotaGate.h"
#include "sardinehollow_routing/state/RoutingState.h"

namespace sardinehollow::gateway {

/** Default limit of ResponseBudget, in bytes: an eighth of the memory of the smallest VMs. */
inline constexpr std::size_t responseBudgetBytes = 32 * 1024 * 1024;

/** Shared services for handling requests; they live as long as the daemon. */
struct GatewayServices
{
    network::EventLoop &loop;
    const WireProtocol &protocol;
    routing::RoutingState &routing;
    BackendPool &pool;
    GatewayMetrics &metrics;
    logging::EventLog &log;
    routing::QuotaGate quotas {0};
    routing::DemandMeter demand {};
    network::ResponseBudget responseBudget {responseBudgetBytes};
    /** Null if the daemon has no copy of a store. */
    const StoreKnowledge *storeKnowledge = nullptr;
    /** Age of the copy of the store from which the configuration may be outdated. */
    core::Duration maximumKnowledgeAge = core::Duration::max();
    /** Graceful shutdown has begun: connections are closed after the next response. */
    bool isLeaving = false;
    /** When a daemon that is leaving ends its open connections. */
    core::Instant stopsAt {0};
    /** Last part of the shutdown: new requests are refused, as they could not be completed. */
    bool isRefusing = false;
};

} // namespace sardinehollow::gateway
