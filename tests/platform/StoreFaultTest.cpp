#include "sardinehollow_platform/etcd/EtcdStore.h"
#include "sardinehollow_platform/vms/HttpVmList.h"
#include "support/StandinFixture.h"

#include <catch2/catch.hpp>

#include <condition_variable>

using namespace sardinehollow;
using namespace std::chrono_literals;
using core::ErrorKind;
using platform::CallPurpose;

namespace {

constexpr CallPurpose purpose = CallPurpose::Claim;
const std::string key = "sardinehollow/test/claims/one";

// Long enough for every response of the stand-in; exceeded only if no response is sent.
constexpr std::chrono::milliseconds shortTimeout {1500};
constexpr std::chrono::milliseconds longTimeout {10'000};

class RecordingListener : public platform::WatchListener
{
public:
    void onChanged(const std::vector<platform::KeyValue> &keyValues, std::int64_t) override
    {
        const std::lock_guard lock(m_mutex);
        m_changed.insert(m_changed.end(), keyValues.begin(), keyValues.end());
        m_event.notify_all();
    }

    void onEnded(const core::Error &reason) override
    {
        const std::lock_guard lock(m_mutex);
        m_end = reason;
        m_event.notify_all();
    }

    /** Waits without a time-out; that of ctest ends a test whose watch never reports. */
    core::Error waitForEnd()
    {
        std::unique_lock lock(m_mutex);
        m_event.wait(lock, [this] { return m_end.has_value(); });
        return *m_end;
    }

    platform::KeyValue waitForChange()
    {
        std::unique_lock lock(m_mutex);
        m_event.wait(lock, [this] { return !m_changed.empty(); });
        return m_changed.front();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_event;
    std::vector<platform::KeyValue> m_changed;
    std::optional<core::Error> m_end;
};

struct FaultCase
{
    const char *name;
    const char *faults;
    std::chrono::milliseconds timeout;
    ErrorKind expected;
    /** Whether the write has been applied to the store. */
    bool applied;
};

std::int64_t callsOf(standin::Standin &standin, const char *kind)
{
    const auto byKind = standin.platform().calls.toJson()->getObject("byKind");
    return byKind->optValue<std::int64_t>(kind, 0);
}

} // namespace

TEST_CASE("Each fault of the store gives the error kind that tells whether a retry is safe")
{
    const auto fault = GENERATE(
            FaultCase {"a refused connection taken as an unknown result blocks the caller",
                       R"({"storeRefuse": true})", longTimeout, ErrorKind::Unreachable, false},
            FaultCase {"an outage answer taken as success loses the write",
                       R"({"storeOutage": true})", longTimeout, ErrorKind::Unavailable, false},
            FaultCase {"a lost reply taken as unreachable runs a request twice",
                       R"({"storeLostReplies": 1})", longTimeout, ErrorKind::ResultUnknown, true},
            FaultCase {"a silent connection blocks its caller for ever", R"({"storeSilent": true})",
                       shortTimeout, ErrorKind::ResultUnknown, false},
            FaultCase {"a refusal by the rate limit taken as success loses the write",
                       R"({"storeWritesPerSecond": 1})", longTimeout, ErrorKind::Unavailable,
                       false});
    CAPTURE(fault.name);
    standin::Standin standin(tests::standinSettings());
    platform::EtcdStore store({standin.platformAddress()}, fault.timeout);
    // Opens a persistent connection, so that the fault occurs on an existing one.
    REQUIRE(store.range(purpose, key, false));
    REQUIRE(standin.faults().apply(fault.faults).empty());
    if (std::string(fault.faults).find("WritesPerSecond") != std::string::npos)
        REQUIRE(store.transact(purpose, {}, {{"sardinehollow/test/other", "x", 0}}));
    const auto reply = store.transact(purpose, {{key, 0}}, {{key, "value", 0}});
    REQUIRE_FALSE(reply);
    CHECK(reply.error().kind == fault.expected);
    CHECK_FALSE(reply.error().remedy.empty());
    CHECK(standin.platform().store.range(key, "").entries.empty() == !fault.applied);
}

TEST_CASE("A persistent connection that stops responding fails only one call")
{
    standin::Standin standin(tests::standinSettings());
    platform::EtcdStore store({standin.platformAddress()}, shortTimeout);
    REQUIRE(store.range(purpose, key, false));
    REQUIRE(standin.faults().apply(R"({"storeSilenceOpenConnections": true})").empty());
    CHECK_FALSE(store.range(purpose, key, false));
    CHECK(store.range(purpose, key, false));
}

TEST_CASE("Each call is counted by kind and purpose, also by the stand-in")
{
    standin::Standin standin(tests::standinSettings());
    platform::EtcdStore store({standin.platformAddress()}, longTimeout);
    for (int index = 0; index < 5; ++index)
        REQUIRE(store.range(CallPurpose::Configuration, "sardinehollow/test/head", false));
    REQUIRE(store.transact(purpose, {{key, 0}}, {{key, "value", 0}}));
    CHECK(store.callCounters().calls(platform::CallKind::Range, CallPurpose::Configuration) == 5);
    CHECK(store.callCounters().calls(platform::CallKind::Transaction, purpose) == 1);
    CHECK(store.callCounters().calls(platform::CallKind::Transaction, CallPurpose::Configuration)
          == 0);
    CHECK(callsOf(standin, "kv/range") == 5);
    CHECK(callsOf(standin, "kv/txn") == 1);
    const auto byPurpose = standin.platform().calls.toJson()->getObject("byPurpose");
    CHECK(byPurpose->optValue<int>("claims", 0) == 1);
    CHECK(byPurpose->optValue<int>("head", 0) == 5);
}

TEST_CASE("A call fails over to the next address if the first refuses connections")
{
    standin::Standin refusing(tests::standinSettings());
    standin::Standin serving(tests::standinSettings());
    platform::EtcdStore store({refusing.platformAddress(), serving.platformAddress()}, longTimeout);
    REQUIRE(refusing.faults().apply(R"({"storeRefuse": true})").empty());
    REQUIRE(store.transact(purpose, {{key, 0}}, {{key, "value", 0}}));
    CHECK(serving.platform().store.range(key, "").entries.size() == 1);
}

TEST_CASE("A compare on an outdated revision fails, and an expired lease is not found")
{
    standin::Standin standin(tests::standinSettings());
    platform::EtcdStore store({standin.platformAddress()}, longTimeout);
    const auto lease = store.grantLease(purpose, 60s);
    REQUIRE(lease);
    REQUIRE(store.transact(purpose, {{key, 0}}, {{key, "value", lease->id}}));
    const auto again = store.transact(purpose, {{key, 0}}, {{key, "other", 0}});
    REQUIRE(again);
    CHECK_FALSE(again->succeeded);
    REQUIRE(store.keepAliveLease(purpose, lease->id));
    REQUIRE(standin.faults().apply(R"({"storeLapseLeases": true})").empty());
    const auto lapsed = store.keepAliveLease(purpose, lease->id);
    REQUIRE_FALSE(lapsed);
    CHECK(lapsed.error().kind == ErrorKind::NotFound);
    CHECK(store.range(purpose, key, false)->keyValues.empty());
}

TEST_CASE("A value of 1 MiB is accepted, and a larger one is refused")
{
    standin::Standin standin(tests::standinSettings());
    platform::EtcdStore store({standin.platformAddress()}, longTimeout);
    const std::string largest(1024 * 1024, 'x');
    CHECK(store.transact(purpose, {}, {{key, largest, 0}}));
    const auto refused = store.transact(purpose, {}, {{key, largest + "x", 0}});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == ErrorKind::Unavailable);
    CHECK(store.range(purpose, key, false)->keyValues.front().value == largest);
}

TEST_CASE("A watch reports changes, and each failure ends it with its error kind")
{
    struct WatchCase
    {
        const char *name;
        const char *faults;
        ErrorKind expected;
    };
    const auto fault = GENERATE(WatchCase {"a watch that goes silent hides every later change",
                                           R"({"storeSilenceOpenConnections": true})",
                                           ErrorKind::Unreachable},
                                WatchCase {"an outage ends the stream", R"({"storeOutage": true})",
                                           ErrorKind::Unreachable},
                                WatchCase {"refused connections end the stream",
                                           R"({"storeRefuse": true})", ErrorKind::Unreachable},
                                WatchCase {"a store that returned to older data skips changes",
                                           R"({"storeRestore": true})", ErrorKind::Conflict});
    CAPTURE(fault.name);
    standin::Standin standin(tests::standinSettings());
    platform::EtcdStore store({standin.platformAddress()}, longTimeout, shortTimeout);
    REQUIRE(standin.faults().apply(R"({"storeSnapshot": true})").empty());
    RecordingListener listener;
    const auto watch = store.watch(purpose, key, false, 0, listener);
    REQUIRE(watch);
    REQUIRE(store.transact(purpose, {{key, 0}}, {{key, "value", 0}}));
    CHECK(listener.waitForChange().value == "value");
    REQUIRE(standin.faults().apply(fault.faults).empty());
    CHECK(listener.waitForEnd().kind == fault.expected);
}

TEST_CASE("A watch from a compacted revision ends with NotFound")
{
    standin::StandinSettings settings = tests::standinSettings();
    settings.historyLimit = 2;
    standin::Standin standin(settings);
    platform::EtcdStore store({standin.platformAddress()}, longTimeout);
    for (int index = 0; index < 5; ++index)
        REQUIRE(store.transact(purpose, {}, {{key, std::to_string(index), 0}}));
    RecordingListener listener;
    const auto watch = store.watch(purpose, key, false, 1, listener);
    REQUIRE(watch);
    CHECK(listener.waitForEnd().kind == ErrorKind::NotFound);
}

TEST_CASE("The list of VMs lags as configured, and an outage is an error, never an empty list")
{
    standin::StandinSettings settings = tests::standinSettings();
    standin::Standin standin(settings);
    platform::HttpVmList list(standin.platformAddress(), longTimeout);
    REQUIRE(list.list()->empty());
    const std::string vms = R"("vms": [{"vm": "vm1", "region": "east", "state": "leaving"}])";
    REQUIRE(standin.faults().apply(R"({"vmListLagMs": 3600000, )" + vms + "}").empty());
    CHECK(list.list()->empty());
    REQUIRE(standin.faults().apply(R"({"vmListLagMs": 0})").empty());
    const auto current = list.list();
    REQUIRE(current->size() == 1);
    CHECK(current->front().leaving);
    REQUIRE(standin.faults().apply(R"({"storeOutage": true})").empty());
    CHECK_FALSE(list.list());
    CHECK(list.calls() == 4);
}
