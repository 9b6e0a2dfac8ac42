#pragma once

#include "sardinehollow_gateway/backend/BackendPool.h"
#include "sardinehollow_gateway/exchange/WireProtocol.h"
#include "sardinehollow_gateway/status/GatewayMetrics.h"
#include "sardinehollow_logging/EventLog.h"
#include "sardinehollow_network/loop/EventLoop.h"
#include "sardinehollow_routing/state/RoutingState.h"

namespace sardinehollow::gateway {

/** What the handling of a request uses; lives as long as the daemon. */
struct GatewayServices
{
    network::EventLoop &loop;
    const WireProtocol &protocol;
    routing::RoutingState &routing;
    BackendPool &pool;
    GatewayMetrics &metrics;
    logging::EventLog &log;
    /** The daemon takes no new callers: connections end with the next response. */
    bool isLeaving = false;
    /** The daemon stops soon: requests that come now could not be finished. */
    bool isRefusing = false;
};

} // namespace sardinehollow::gateway
