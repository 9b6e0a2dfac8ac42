#include "sardinehollow_gateway/application/OperatorTracker.h"
#include "platform/PlatformProtocol.h"
#include "platform/PlatformSchema.h"
#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>
#include <spdlog/sinks/null_sink.h>

using namespace sardinehollow;
using namespace std::chrono_literals;
using platform::KeyValue;

// EVAC: a copy without the evacuation took it back until the operator had written it again.
TEST_CASE("Evacuations stay as they were for a while after the store was restored")
{
    const bool isWrittenAgain = GENERATE(false, true);
    CAPTURE(isWrittenAgain);
    core::ManualClock clock;
    core::SeededRandom random {1};
    network::EventLoop loop(clock);
    const adapter::PlatformProtocol protocol;
    const adapter::PlatformSchema schema;
    routing::RoutingState routing({}, random);
    gateway::BackendPool pool(loop, protocol);
    gateway::GatewayMetrics metrics;
    logging::EventLog log(std::make_shared<spdlog::sinks::null_sink_mt>());
    gateway::GatewayServices services {loop, protocol, routing, pool, metrics, log};
    gateway::OperatorTracker tracker(services, schema, 2s);
    const KeyValue evacuation {"op/evacuate/east-a", "{}"};
    tracker.onSnapshot({evacuation});
    REQUIRE(routing.backends().isEvacuated("east-a"));
    tracker.onStoreRestored();
    tracker.onSnapshot({});
    CHECK(routing.backends().isEvacuated("east-a"));
    if (isWrittenAgain)
        tracker.onChanged({evacuation});
    clock.advance(2s);
    loop.post([&loop] { loop.stop(); });
    loop.run();
    CHECK(routing.backends().isEvacuated("east-a") == isWrittenAgain);
}
