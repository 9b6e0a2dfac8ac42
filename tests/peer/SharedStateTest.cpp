#include "peer/Cluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using tests::Cluster;

constexpr std::size_t domains = 3;
constexpr std::size_t daemonsPerDomain = 3;

// Injects one fault or submits changes, as encoded in the number.
void injectFault(Cluster &cluster, std::uint32_t number)
{
    const std::size_t target = number / 16 % (domains * daemonsPerDomain);
    const std::uint32_t detail = number / 256;
    switch (number % 12) {
    case 0:
        cluster.pause(target, 500ms * (1 + detail % 12));
        break;
    case 1:
        cluster.kill(target);
        break;
    case 2:
        cluster.start(target);
        break;
    case 3:
        cluster.leave(target);
        break;
    case 4:
    case 5:
        cluster.partition(target, number % 12 == 4);
        break;
    case 6:
    case 7:
        cluster.setStoreOutage(number % 12 == 6);
        break;
    case 8:
        cluster.rollBackStore(detail);
        break;
    case 9:
        cluster.setNetworkFaults(detail % 3 * 15, detail % 5 * 5, detail % 2 * 50);
        break;
    default:
        // Two operators submit changes based on the same generation.
        if (const auto first = cluster.submit())
            cluster.submit(*first - 1);
    }
    cluster.run(100ms * (1 + detail % 30));
}

} // namespace

TEST_CASE("Faults and concurrent changes violate no invariant, and the daemons converge afterwards")
{
    const bool holds = rc::check([](std::uint64_t seed) {
        const auto faults = *rc::gen::container<std::vector<std::uint32_t>>(
                20, rc::gen::inRange<std::uint32_t>(0, 1U << 20));
        Cluster cluster(domains, daemonsPerDomain, seed);
        cluster.run(5s);
        for (const std::uint32_t number : faults)
            injectFault(cluster, number);
        cluster.heal();
        cluster.run(40s);
        // After a roll-back of the store, daemons adopt a change only once its generation exceeds
        // theirs.
        std::uint64_t highest = 0;
        for (const Cluster::Node &node : cluster.nodes())
            highest = std::max(highest, node.replica->generation());
        for (std::uint64_t generation = 0; generation <= highest;)
            generation = *cluster.submit();
        cluster.run(20s);
        if (!cluster.violation().empty())
            RC_FAIL(cluster.violation());
        if (!cluster.convergenceError().empty())
            RC_FAIL(cluster.convergenceError());
    });
    REQUIRE(holds);
}

TEST_CASE("The next message notifies the other daemons that a daemon is leaving")
{
    // Guards against forwarding requests to a daemon that received SIGTERM until the VM list drops
    // it.
    Cluster cluster(2, 3, 1);
    cluster.run(10s);
    REQUIRE(cluster.convergenceError().empty());
    const std::size_t leaving = GENERATE(0, 1, 2, 3, 4, 5);
    cluster.leave(leaving);
    cluster.run(400ms);
    for (const Cluster::Node &node : cluster.nodes()) {
        for (const policy::Peer &peer : node.membership->view()->peers) {
            CAPTURE(node.address.vm, peer.vm);
            REQUIRE(peer.leaving == (peer.vm == cluster.node(leaving).address.vm));
        }
    }
}

TEST_CASE("A daemon that was paused for longer than its lease rejoins fenced")
{
    Cluster cluster(1, 3, 2);
    cluster.run(10s);
    const std::uint64_t before = cluster.node(0).membership->incarnation();
    const core::Duration pause = std::chrono::milliseconds(GENERATE(1000, 1900, 2500, 30000));
    CAPTURE(pause.count());
    cluster.pause(0, pause);
    cluster.run(pause + 100ms);
    const bool beyond = pause > peer::MembershipTimes().lease;
    REQUIRE(cluster.node(0).membership->isFenced() == beyond);
    REQUIRE((cluster.node(0).membership->incarnation() > before) == beyond);
    REQUIRE(cluster.node(0).membership->view()->fenced == beyond);
    cluster.run(4s);
    REQUIRE_FALSE(cluster.node(0).membership->isFenced());
    REQUIRE(cluster.convergenceError().empty());
    REQUIRE(cluster.violation().empty());
}

TEST_CASE("A daemon whose heartbeats were lost is alive again with the next one")
{
    // Guards against waiting for a heartbeat with addresses, which is sent every 10 s only.
    Cluster cluster(1, 2, 6);
    cluster.run(10s);
    cluster.cutLink(0, 1, true);
    cluster.run(3s);
    REQUIRE(cluster.node(1).membership->view()->peers.size() == 1);
    cluster.cutLink(0, 1, false);
    cluster.run(1s);
    REQUIRE(cluster.convergenceError().empty());
}

TEST_CASE("A restarted failure domain adopts the newer configuration of the others")
{
    // Guards against adopting the stale configuration of a store that has lost its latest data.
    Cluster cluster(2, 2, 3);
    cluster.run(5s);
    for (int change = 0; change < 3; ++change)
        REQUIRE(cluster.submit());
    cluster.run(1s);
    cluster.rollBackStore(0);
    for (const std::size_t index : {0, 2}) {
        cluster.kill(index);
        cluster.start(index);
    }
    for (int step = 0; step < 100; ++step) {
        cluster.run(100ms);
        for (const Cluster::Node &node : cluster.nodes()) {
            CAPTURE(node.address.vm, step);
            REQUIRE((node.replica->generation() == 0 || node.replica->generation() == 3));
        }
    }
    for (const Cluster::Node &node : cluster.nodes())
        REQUIRE(node.replica->generation() == 3);
    REQUIRE(cluster.node(0).replica->lowerHeads() + cluster.node(2).replica->lowerHeads() > 0);
}

TEST_CASE("A configuration that one relay read before a store outage reaches all failure domains")
{
    Cluster cluster(3, 2, 4);
    cluster.run(5s);
    REQUIRE(cluster.submit());
    cluster.run(5s);
    cluster.partition(0, true);
    // Only the relay of the partitioned failure domain is notified of the change.
    for (Cluster::Node &node : cluster.nodes())
        node.watching = node.watching && node.address.failureDomain == "domain-0";
    REQUIRE(cluster.submit());
    cluster.run(5s);
    cluster.setStoreOutage(true);
    REQUIRE(cluster.node(0).replica->generation() == 2);
    REQUIRE(cluster.node(1).replica->generation() == 1);
    cluster.partition(0, false);
    cluster.run(10s);
    REQUIRE(cluster.convergenceError().empty());
}

TEST_CASE("One relay for each failure domain calls the store, and retries with jittered back-off")
{
    Cluster cluster(4, 3, 5);
    cluster.run(10s);
    const int atStart = cluster.store().calls;
    REQUIRE(atStart == 4);
    cluster.run(60s);
    REQUIRE(cluster.store().calls == atStart);
    // A change reaches every daemon by an announcement, without a further call to the store and
    // before a daemon requests it because of a heartbeat and the grace period.
    REQUIRE(cluster.submit());
    cluster.run(20s);
    REQUIRE(cluster.submit());
    const int afterSubmit = cluster.store().calls;
    cluster.run(200ms);
    REQUIRE(cluster.convergenceError().empty());
    REQUIRE(cluster.store().calls == afterSubmit);
    cluster.setStoreOutage(true);
    cluster.run(300s);
    // The back-off is at most 30 s; relays that retried each second would make 1,200 calls.
    REQUIRE(cluster.store().calls - afterSubmit <= 4 * 30);
}

TEST_CASE("Every daemon receives the generations of the other failure domains")
{
    Cluster cluster(3, 3, 7);
    cluster.run(5s);
    REQUIRE(cluster.submit());
    cluster.run(20s);
    REQUIRE(cluster.submit());
    cluster.run(20s);
    for (const Cluster::Node &node : cluster.nodes()) {
        CAPTURE(node.address.vm);
        REQUIRE(node.membership->remoteDomains().size() == 2);
        for (const auto &[name, domain] : node.membership->remoteDomains()) {
            REQUIRE(domain.lowestGeneration == 2);
            REQUIRE(domain.highestGeneration == 2);
        }
    }
}

TEST_CASE("A late heartbeat does not override a newer one")
{
    Cluster cluster(1, 2, 8);
    cluster.run(5s);
    const auto deliver
            = [&cluster](std::uint64_t incarnation, std::uint64_t sequence, bool leaving) {
                  peer::wire::Envelope envelope;
                  envelope.set_protocol_version(peer::protocolVersion);
                  envelope.set_deployment("test");
                  envelope.set_sender_id("vm-1");
                  envelope.set_incarnation(incarnation);
                  envelope.set_sequence(sequence);
                  envelope.mutable_heartbeat()->set_has_details(true);
                  envelope.mutable_heartbeat()->set_failure_domain("domain-0");
                  envelope.mutable_heartbeat()->set_leaving(leaving);
                  REQUIRE_FALSE(cluster.deliver(0, envelope.SerializeAsString()));
                  return cluster.node(0).membership->view()->peers.at(1).leaving;
              };
    constexpr std::uint64_t laterRun = 1'000'000;
    REQUIRE_FALSE(deliver(laterRun, 5, false));
    REQUIRE(deliver(laterRun, 8, true));
    REQUIRE(deliver(laterRun, 7, false));
    REQUIRE_FALSE(deliver(laterRun + 1, 1, false));
}

TEST_CASE("A delta that does not produce the announced manifest is not adopted")
{
    // After a roll-back of the store, two configurations can have the same generation, so a delta
    // may be applied to a base other than the one that it was computed from.
    Cluster cluster(1, 2, 9);
    cluster.run(5s);
    REQUIRE(cluster.submit());
    cluster.run(1s);
    peer::wire::Envelope envelope;
    envelope.set_protocol_version(peer::protocolVersion);
    envelope.set_deployment("test");
    envelope.set_sender_id("vm-1");
    envelope.set_incarnation(1'000'000);
    envelope.set_sequence(1);
    peer::wire::ConfigurationHead &head
            = *envelope.mutable_configuration_announcement()->mutable_head();
    head.set_generation(2);
    head.set_manifest(std::string(64, '0'));
    head.set_delta(R"({"base":1,"runs":[{"first":0,"count":2}]})");
    REQUIRE_FALSE(cluster.deliver(0, envelope.SerializeAsString()));
    REQUIRE(cluster.node(0).replica->generation() == 1);
    REQUIRE(cluster.violation().empty());
}

TEST_CASE("A part whose request or reply is lost is requested again")
{
    const std::uint64_t seed = GENERATE(range(1, 11));
    CAPTURE(seed);
    Cluster cluster(1, 3, seed);
    cluster.run(5s);
    REQUIRE(cluster.submit());
    cluster.run(1s);
    cluster.setNetworkFaults(60, 0, 0);
    cluster.kill(1);
    cluster.start(1);
    cluster.run(10s);
    cluster.heal();
    cluster.run(5s);
    REQUIRE(cluster.convergenceError().empty());
}
