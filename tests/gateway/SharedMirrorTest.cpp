#include "sardinehollow_gateway/sharing/SharedMirror.h"
#include "sardinehollow_network/loop/BootClock.h"
#include "support/FakeStore.h"

#include <spdlog/sinks/null_sink.h>

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

class PacedStore : public tests::FakeStore
{
public:
    void setWatchPacing(const platform::WatchPacing &watchPacing) override { pacing = watchPacing; }

    platform::WatchPacing pacing;
};

class IgnoringListener : public platform::MirrorListener
{
public:
    void onSnapshot(const std::vector<platform::KeyValue> &) override { }
    void onChanged(const std::vector<platform::KeyValue> &) override { }
    void onStoreLost(const core::Error &) override { }
    void onStoreRegained() override { }
};

} // namespace

// Guards against a call of the watch that the store neither answers nor cuts, and that hides
// changes for longer than they may stay unknown.
TEST_CASE("The store is asked again before a change may stay unknown")
{
    const core::Duration maxStoreDelay = GENERATE(core::Duration(1s), core::Duration(2500ms));
    const network::BootClock clock;
    network::EventLoop loop(clock);
    logging::EventLog log(std::make_shared<spdlog::sinks::null_sink_mt>());
    PacedStore store;
    IgnoringListener listener;
    const gateway::SharedMirror mirror(
            {{"vm-1", "127.0.0.1:1", "east-a", "east"}, maxStoreDelay, 1}, loop, clock, log, store,
            listener);
    CHECK(store.pacing.pauseAfterChanges + store.pacing.longestWait < maxStoreDelay);
    CHECK(store.pacing.pauseWithoutChanges + store.pacing.longestWait < maxStoreDelay);
}
