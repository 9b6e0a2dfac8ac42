#include "sardinehollow_gateway/application/OperatorTracker.h"
#include "adapter/ServicesFixture.h"
#include "platform/PlatformSchema.h"
#include "sardinehollow_core/time/ManualClock.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

// Guards against requests to an evacuated failure domain after a restore from a copy without it.
TEST_CASE("Evacuations stay as they were for a while after the store was restored")
{
    const bool isWrittenAgain = GENERATE(false, true);
    CAPTURE(isWrittenAgain);
    core::ManualClock clock;
    tests::ServicesFixture daemon(clock);
    const adapter::PlatformSchema schema;
    gateway::OperatorTracker tracker(daemon.services, schema, 2s);
    const auto isEvacuated = [&] { return daemon.routing.backends().isEvacuated("east-a"); };
    tracker.onSnapshot({{"op/evacuate/east-a", "{}"}});
    REQUIRE(isEvacuated());
    tracker.onStoreRestored();
    tracker.onSnapshot({});
    CHECK(isEvacuated());
    if (isWrittenAgain)
        tracker.onChanged({{"op/evacuate/east-a", "{}"}});
    clock.advance(2s);
    daemon.loop.post([&daemon] { daemon.loop.stop(); });
    daemon.loop.run();
    CHECK(isEvacuated() == isWrittenAgain);
}
