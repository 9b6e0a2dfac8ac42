#include "sardinehollow_daemon/claims/RoutingClaimGate.h"

#include "sardinehollow_core/time/SystemClock.h"
#include "sardinehollow_daemon/scheduling/PeriodicTask.h"
#include "sardinehollow_peer/generated/peer.pb.h"
#include "support/FakeStore.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using entry::ClaimAction;
using policy::RefusalReason;

/** Runs 100 times as fast as real time, so that time-outs end soon. */
class FastClock : public core::MonotonicClock
{
public:
    core::Instant now() const override { return m_clock.now() * 100; }

private:
    core::SystemClock m_clock;
};

/** Queues messages between gates; deliver() passes them on, on the thread that calls it. */
class QueueTransport
{
public:
    /** The transport of one daemon. */
    class End : public peer::PeerTransport
    {
    public:
        End(QueueTransport &transport, std::string vm)
            : m_transport(transport)
            , m_vm(std::move(vm))
        { }

        void send(const std::string &vm, peer::wire::Envelope envelope) override
        {
            envelope.set_sender_id(m_vm);
            const std::lock_guard lock(m_transport.m_mutex);
            m_transport.m_messages.emplace_back(vm, std::move(envelope));
        }

    private:
        QueueTransport &m_transport;
        const std::string m_vm;
    };

    void deliver()
    {
        std::deque<std::pair<std::string, peer::wire::Envelope>> messages;
        {
            const std::lock_guard lock(m_mutex);
            messages.swap(m_messages);
        }
        for (const auto &[vm, envelope] : messages) {
            const auto found = listeners.find(vm);
            if (found != listeners.end())
                found->second->onMessage(envelope);
        }
    }

    std::map<std::string, peer::MessageListener *> listeners;

private:
    std::mutex m_mutex;
    std::deque<std::pair<std::string, peer::wire::Envelope>> m_messages;
};

/** Replaces the gate for unscoped keys and counts the claims that it begins. */
class CountingGate : public entry::ClaimGate
{
public:
    entry::ClaimAnswer begin(const entry::ClaimRequest &) override
    {
        ++begunClaims;
        return {ClaimAction::Proceed, RefusalReason::None, 0, {}, 1};
    }
    void finish(const entry::ClaimRequest &, int, const std::string &) override { }
    void release(const entry::ClaimRequest &) override { }

    int begunClaims = 0;
};

std::shared_ptr<const policy::PeerView> makeView(std::size_t self)
{
    auto view = std::make_shared<policy::PeerView>();
    for (const char *vm : {"east-a-1", "west-a-1"}) {
        policy::Peer peer;
        peer.vm = vm;
        peer.failureDomain = std::string(vm).substr(0, 6);
        peer.claimScope = peer.failureDomain + "~5";
        view->peers.push_back(peer);
    }
    view->self = self;
    return view;
}

struct Daemon
{
    Daemon(const std::string &vm, platform::KeyValueStore &store, const core::MonotonicClock &clock)
        : journal(store, "test", vm.substr(0, 6))
        , gate({vm, vm.substr(0, 6), 1}, journal, unscoped, clock, metrics)
    { }

    CountingGate unscoped;
    entry::Metrics metrics;
    daemon::StoreClaimJournal journal;
    daemon::RoutingClaimGate gate;
};

entry::ClaimRequest makeRequest(const std::string &key, const core::MonotonicClock &clock)
{
    entry::ClaimRequest request;
    request.workKind = "post";
    request.key = key;
    request.contentDigest = "content";
    request.deadline = clock.now() + 1h;
    return request;
}

} // namespace

TEST_CASE("Without an owner only a key of the local current scope is refused as not run")
{
    // A key of any other scope is probably a repeat whose first request may have run.
    struct Case
    {
        std::string key;
        ClaimAction action;
        RefusalReason reason;
    };
    const Case item
            = GENERATE(Case {"east-a~5.k", ClaimAction::Refuse, RefusalReason::NotOwner},
                       Case {"east-a~4.k", ClaimAction::Unknown, RefusalReason::ClaimUnaccounted},
                       Case {"west-a~5.k", ClaimAction::Unknown, RefusalReason::ClaimUnaccounted},
                       Case {"gone-a~5.k", ClaimAction::Unknown, RefusalReason::ClaimUnaccounted},
                       Case {std::string(300, 'k'), ClaimAction::Refuse, RefusalReason::KeyInvalid},
                       Case {"plain", ClaimAction::Proceed, RefusalReason::None});
    CAPTURE(item.key);
    FastClock clock;
    tests::FakeStore store;
    store.outage = true;
    Daemon local("east-a-1", store, clock);
    local.gate.onPeers(makeView(0));
    const daemon::PeriodicTask poll(1ms, [&local] { local.gate.poll(); });
    const entry::ClaimAnswer answer = local.gate.begin(makeRequest(item.key, clock));
    CHECK(answer.action == item.action);
    CHECK(answer.reason == item.reason);
    CHECK(local.unscoped.begunClaims == (item.key == "plain" ? 1 : 0));
}

TEST_CASE("A daemon of another failure domain claims, ends and repeats keys through the owner")
{
    core::SystemClock clock;
    tests::FakeStore store;
    Daemon owner("east-a-1", store, clock);
    Daemon remote("west-a-1", store, clock);
    QueueTransport transport;
    QueueTransport::End ownerEnd(transport, "east-a-1");
    QueueTransport::End remoteEnd(transport, "west-a-1");
    transport.listeners = {{"east-a-1", &owner.gate}, {"west-a-1", &remote.gate}};
    owner.gate.setTransport(&ownerEnd);
    remote.gate.setTransport(&remoteEnd);
    owner.gate.onPeers(makeView(0));
    remote.gate.onPeers(makeView(1));
    const daemon::PeriodicTask delivery(1ms, [&] {
        transport.deliver();
        owner.gate.poll();
        remote.gate.poll();
    });
    while (owner.gate.ownScope().empty())
        std::this_thread::sleep_for(1ms);
    const std::string key = owner.gate.ownScope() + ".k";
    entry::ClaimRequest request = makeRequest(key, clock);
    const entry::ClaimAnswer first = remote.gate.begin(request);
    REQUIRE(first.action == ClaimAction::Proceed);
    request.claimNumber = first.claimNumber;
    REQUIRE(owner.gate.begin(makeRequest(key, clock)).action == ClaimAction::Unknown);
    remote.gate.release(request);
    entry::ClaimAnswer second = remote.gate.begin(makeRequest(key, clock));
    while (second.action != ClaimAction::Proceed)
        second = remote.gate.begin(makeRequest(key, clock));
    request.claimNumber = second.claimNumber;
    remote.gate.finish(request, 201, "made");
    entry::ClaimAnswer replay = owner.gate.begin(makeRequest(key, clock));
    while (replay.action == ClaimAction::Unknown)
        replay = owner.gate.begin(makeRequest(key, clock));
    REQUIRE(replay.action == ClaimAction::Replay);
    REQUIRE(replay.status == 201);
    REQUIRE(replay.body == "made");
}
