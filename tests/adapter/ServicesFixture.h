#pragma once

#include "platform/PlatformProtocol.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_gateway/exchange/GatewayServices.h"

#include <spdlog/sinks/null_sink.h>

#include <memory>

namespace sardinehollow::tests {

/** The services of a daemon without its listeners and its store. */
struct ServicesFixture
{
    explicit ServicesFixture(const core::MonotonicClock &clock,
                             const routing::RoutingSettings &settings = {})
        : loop(clock)
        , routing(settings, random)
    { }

    core::SeededRandom random {7};
    network::EventLoop loop;
    const adapter::PlatformProtocol protocol;
    routing::RoutingState routing;
    gateway::BackendPool pool {loop, protocol};
    gateway::GatewayMetrics metrics;
    logging::EventLog log {std::make_shared<spdlog::sinks::null_sink_mt>()};
    gateway::GatewayServices services {loop, protocol, routing, pool, metrics, log};
};

} // namespace sardinehollow::tests
