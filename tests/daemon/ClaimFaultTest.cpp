#include "daemon/ClaimSimulation.h"

#include <catch2/catch.hpp>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using policy::RefusalReason;
using tests::ClaimSimulation;
using tests::FaultyStore;
using Result = peer::ClaimVerdict::Result;
using Plan = ClaimSimulation::Plan;

/** Daemon of another failure domain, after the two that may own the scope. */
constexpr std::size_t remote = 2;

struct NamedFault
{
    const char *name;
    void (*apply)(ClaimSimulation &simulation);
};

void setStoreFault(ClaimSimulation &simulation, FaultyStore::Fault fault)
{
    simulation.nodes[0].store->fault = fault;
}

const std::vector<NamedFault> faults {
        {"none", [](ClaimSimulation &) {}},
        {"owner dies", [](ClaimSimulation &simulation) { simulation.kill(0); }},
        {"owner restarts", [](ClaimSimulation &simulation) { simulation.restart(0); }},
        {"owner pauses", [](ClaimSimulation &simulation) { simulation.nodes[0].paused = true; }},
        {"owner is cut off",
         [](ClaimSimulation &simulation) { simulation.nodes[0].isolated = true; }},
        {"accepting daemon dies", [](ClaimSimulation &simulation) { simulation.kill(remote); }},
        {"accepting daemon pauses",
         [](ClaimSimulation &simulation) { simulation.nodes[remote].paused = true; }},
        {"store is down", [](ClaimSimulation &simulation) { simulation.store.outage = true; }},
        {"store is slow",
         [](ClaimSimulation &simulation) { simulation.nodes[0].slowStore = true; }},
        {"replies lost",
         [](ClaimSimulation &simulation) {
             setStoreFault(simulation, FaultyStore::Fault::LoseReplies);
         }},
        {"writes lost",
         [](ClaimSimulation &simulation) {
             setStoreFault(simulation, FaultyStore::Fault::LoseRequests);
         }},
        {"writes delayed",
         [](ClaimSimulation &simulation) { setStoreFault(simulation, FaultyStore::Fault::Delay); }},
        {"reply lost, then store down",
         [](ClaimSimulation &simulation) {
             setStoreFault(simulation, FaultyStore::Fault::LoseReplyThenDown);
         }},
        {"two owners", [](ClaimSimulation &simulation) { simulation.nodes[1].owner = true; }},
        {"owner changes", [](ClaimSimulation &simulation) { simulation.setOnlyOwner(1); }},
};

peer::ClaimVerdict claim(ClaimSimulation &simulation, std::size_t node, const std::string &key,
                         Plan plan = Plan::Run, const std::string &kind = "post",
                         const std::string &content = "content")
{
    const std::size_t attempt = simulation.attempt(node, key, plan, kind, content);
    simulation.run(8s);
    return simulation.verdict(attempt);
}

void startServing(ClaimSimulation &simulation)
{
    simulation.setOnlyOwner(0);
    simulation.run(100ms);
    REQUIRE(simulation.scope() == "east-a~1");
}

} // namespace

TEST_CASE("A key runs at most once and gets correct answers under each pair of faults")
{
    for (const NamedFault &firstFault : faults) {
        for (const NamedFault &secondFault : faults) {
            for (const std::string kind : {"post", "memory"}) {
                CAPTURE(firstFault.name, secondFault.name, kind);
                ClaimSimulation simulation;
                startServing(simulation);
                firstFault.apply(simulation);
                simulation.attempt(remote, "east-a~1.k", Plan::Run, kind);
                simulation.attempt(1, "east-a~1.k", Plan::Run, kind);
                simulation.run(20ms);
                secondFault.apply(simulation);
                simulation.run(8s);
                simulation.finishRuns(remote);
                simulation.finishRuns(1);
                simulation.attempt(1, "east-a~1.k", Plan::Run, kind);
                simulation.run(8s);
                simulation.clearFaults();
                simulation.setOnlyOwner(1);
                simulation.run(12s);
                const peer::ClaimVerdict last
                        = claim(simulation, remote, "east-a~1.k", Plan::Run, kind);
                CHECK(simulation.violation == "");
                CHECK(last.confirmed);
                if (simulation.acknowledged.count("east-a~1.k") != 0)
                    CHECK(last.result == Result::Replay);
            }
        }
    }
}

TEST_CASE("A repeat is answered by the state of the first request and its content")
{
    ClaimSimulation simulation;
    startServing(simulation);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Proceed);
    const peer::ClaimVerdict running = claim(simulation, 1, "east-a~1.k");
    REQUIRE(running.result == Result::Unknown);
    simulation.finishRuns(remote);
    simulation.run(100ms);
    const peer::ClaimVerdict replay = claim(simulation, 0, "east-a~1.k");
    REQUIRE(replay.result == Result::Replay);
    REQUIRE(replay.body == simulation.bodies["east-a~1.k"]);
    const peer::ClaimVerdict reused
            = claim(simulation, 0, "east-a~1.k", Plan::Run, "post", "other");
    REQUIRE(reused.reason == RefusalReason::KeyReused);
}

TEST_CASE("A request that was shed may be retried")
{
    // Guards against a key that stays blocked although nothing ran.
    ClaimSimulation simulation;
    startServing(simulation);
    REQUIRE(claim(simulation, remote, "east-a~1.k", Plan::Shed).result == Result::Proceed);
    REQUIRE(claim(simulation, 1, "east-a~1.k").result == Result::Proceed);
    REQUIRE(simulation.runs["east-a~1.k"] == 1);
}

TEST_CASE("In a store outage claims are refused or kept in memory, as the work kind is configured")
{
    ClaimSimulation simulation;
    startServing(simulation);
    simulation.store.outage = true;
    simulation.run(3s);
    const peer::ClaimVerdict refused = claim(simulation, remote, "east-a~1.a", Plan::Run, "post");
    REQUIRE(refused.result == Result::Refuse);
    REQUIRE(refused.reason == RefusalReason::ClaimStoreUnavailable);
    REQUIRE(claim(simulation, remote, "east-a~1.b", Plan::Run, "memory").result == Result::Proceed);
    SECTION("the owner dies, so the key may have run")
    {
        simulation.kill(0);
        simulation.clearFaults();
        simulation.setOnlyOwner(1);
        simulation.run(10s);
        const peer::ClaimVerdict repeat = claim(simulation, 1, "east-a~1.c", Plan::Run, "memory");
        REQUIRE(repeat.result == Result::Unknown);
        REQUIRE(repeat.reason == RefusalReason::ClaimUnaccounted);
        // A request of the other kind runs only after its claim is in the journal.
        REQUIRE(claim(simulation, 1, "east-a~1.d", Plan::Run, "post").result == Result::Proceed);
    }
    SECTION("the store returns and the claims reach the journal")
    {
        simulation.finishRuns(remote);
        simulation.clearFaults();
        simulation.run(5s);
        REQUIRE(simulation.acknowledged.count("east-a~1.b") == 1);
        simulation.kill(0);
        simulation.setOnlyOwner(1);
        simulation.run(10s);
        REQUIRE(claim(simulation, 1, "east-a~1.b", Plan::Run, "memory").result == Result::Replay);
    }
    REQUIRE(simulation.violation == "");
}

TEST_CASE("A journal batch that cannot be read makes its epoch and earlier ones unknown")
{
    ClaimSimulation simulation;
    startServing(simulation);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Proceed);
    for (auto &[key, item] : simulation.store.values) {
        if (key.find("/journal/") != std::string::npos)
            item.value = "\xff\xff";
    }
    simulation.kill(0);
    simulation.setOnlyOwner(1);
    simulation.run(10s);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Unknown);
    REQUIRE(claim(simulation, remote, simulation.scope() + ".k").result == Result::Proceed);
}

TEST_CASE("Retention bounds the journal, and a dropped key is never granted again")
{
    // Guards against a second run of a key whose record was deleted.
    peer::ClaimServiceSettings settings;
    settings.epochAge = 10s;
    settings.scopeGracePeriod = 5s;
    ClaimSimulation simulation(2, settings);
    simulation.kinds = {{"post", {false, 20s}}};
    simulation.restart(0);
    startServing(simulation);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Proceed);
    simulation.finishRuns(remote);
    simulation.run(20s);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Replay);
    const peer::ClaimVerdict late = claim(simulation, remote, "east-a~1.unused");
    REQUIRE(late.reason == RefusalReason::KeyInvalid);
    simulation.run(60s);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Unknown);
    REQUIRE(simulation.runs["east-a~1.k"] == 1);
    const std::string firstEpoch = "/journal/east-a/0000000000000001/";
    for (const auto &[key, item] : simulation.store.values)
        REQUIRE(key.find(firstEpoch) == std::string::npos);
}

TEST_CASE("Claims are refused as not run when the memory for them is used up")
{
    peer::ClaimServiceSettings settings;
    settings.memoryBytes = 1000;
    ClaimSimulation simulation(2, settings);
    startServing(simulation);
    std::size_t refused = 0;
    for (int index = 0; index < 10; ++index) {
        const std::string key = "east-a~1.k" + std::to_string(index);
        refused += claim(simulation, remote, key).reason == RefusalReason::NoCapacity ? 1 : 0;
    }
    REQUIRE(refused > 0);
    REQUIRE(refused < 10);
}

TEST_CASE("Claims that arrive together share a store write")
{
    ClaimSimulation simulation;
    startServing(simulation);
    const int before = simulation.store.writes;
    for (int index = 0; index < 50; ++index)
        simulation.attempt(remote, "east-a~1.k" + std::to_string(index));
    simulation.run(50ms);
    REQUIRE(simulation.runs.size() == 50);
    REQUIRE(simulation.store.writes - before <= 2);
}

TEST_CASE("A former owner does not answer not-run for a key that another owner may have run")
{
    // Guards against a false not-run answer from an owner whose lease has expired.
    ClaimSimulation simulation;
    startServing(simulation);
    setStoreFault(simulation, FaultyStore::Fault::Down);
    simulation.run(5s);
    simulation.nodes[0].isolated = true;
    simulation.nodes[1].owner = true;
    REQUIRE(claim(simulation, 1, "east-a~1.k").result == Result::Proceed);
    simulation.nodes[0].isolated = false;
    const peer::ClaimVerdict repeat = claim(simulation, remote, "east-a~1.k");
    REQUIRE(repeat.result == Result::Refuse);
    REQUIRE_FALSE(repeat.confirmed);
    REQUIRE(simulation.violation == "");
}

TEST_CASE("An owner that paused before an append is fenced by the next epoch")
{
    // Without the fencing by the epoch record's revision both owners would grant the key.
    peer::ClaimServiceSettings settings;
    settings.commitTimeout = 10s;
    ClaimSimulation simulation(2, settings);
    startServing(simulation);
    ClaimSimulation::Node &former = simulation.nodes[0];
    simulation.attempt(remote, "east-a~1.k");
    former.slowCalls = true;
    for (int index = 0; index < 5 && !former.request; ++index)
        simulation.run(10ms);
    REQUIRE(former.request);
    REQUIRE(former.request->kind == peer::JournalRequest::Kind::Append);
    former.paused = true;
    simulation.nodes[remote].isolated = true;
    simulation.setOnlyOwner(1);
    simulation.run(4s);
    simulation.attempt(1, "east-a~1.k");
    simulation.run(500ms);
    REQUIRE(simulation.runs["east-a~1.k"] == 1);
    former.paused = false;
    simulation.nodes[remote].isolated = false;
    simulation.run(8s);
    REQUIRE(simulation.violation == "");
    REQUIRE(simulation.runs["east-a~1.k"] == 1);
}

TEST_CASE("An epoch is dropped only after all earlier ones")
{
    // The later epoch's journal contains claims of earlier scopes; without it these would be taken
    // as not run.
    peer::ClaimServiceSettings settings;
    settings.epochAge = 5s;
    settings.scopeGracePeriod = 10s;
    ClaimSimulation simulation(2, settings);
    startServing(simulation);
    simulation.kinds = {{"post", {false, 5s}}};
    simulation.restart(0);
    simulation.run(4s);
    REQUIRE(simulation.scope() == "east-a~2");
    simulation.attempt(remote, "east-a~1.k");
    simulation.run(300ms);
    REQUIRE(simulation.runs["east-a~1.k"] == 1);
    simulation.finishRuns(remote);
    simulation.run(60s);
    simulation.restart(0);
    simulation.run(5s);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Replay);
    REQUIRE(simulation.violation == "");
}

TEST_CASE("Only one of two daemons that take the same epoch owns it")
{
    // Without the condition on the epoch record both would own one epoch number.
    ClaimSimulation simulation;
    simulation.nodes[0].owner = true;
    simulation.nodes[1].owner = true;
    // Both have read the record before either writes it.
    for (std::size_t node : {0U, 1U}) {
        simulation.advanceNode(node);
        simulation.nodes[node].slowCalls = true;
        simulation.advanceNode(node);
    }
    simulation.run(20ms);
    const bool isFirstServing = simulation.nodes[0].service->isServing();
    const bool isSecondServing = simulation.nodes[1].service->isServing();
    REQUIRE(isFirstServing != isSecondServing);
}

TEST_CASE("A lost reply to an append loses neither the claim nor the epoch")
{
    ClaimSimulation simulation;
    startServing(simulation);
    setStoreFault(simulation, FaultyStore::Fault::LoseReplies);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Proceed);
    REQUIRE(simulation.scope() == "east-a~1");
}

TEST_CASE("A begin call refused while its append was unknown releases the key")
{
    // The record is written late; unless a release follows it, a repeat is answered as unknown.
    ClaimSimulation simulation;
    startServing(simulation);
    setStoreFault(simulation, FaultyStore::Fault::Delay);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Refuse);
    simulation.clearFaults();
    simulation.run(1s);
    simulation.kill(0);
    simulation.setOnlyOwner(1);
    simulation.run(8s);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Proceed);
}

TEST_CASE("A begin call that arrives after its release is not granted")
{
    // No daemon would finish or release such a claim, and the key would stay blocked.
    ClaimSimulation simulation;
    startServing(simulation);
    peer::ClaimCall call;
    call.id = {"west-a-2", 1, 1000};
    call.workKind = "post";
    call.key = "east-a~1.k";
    call.deadline = simulation.now + 5s;
    peer::ClaimCall released = call;
    released.operation = peer::ClaimOperation::Release;
    peer::ClaimService &service = *simulation.nodes[0].service;
    REQUIRE(service.handle(released, simulation.now).size() == 1);
    const peer::ClaimService::Responses responses = service.handle(call, simulation.now);
    REQUIRE(responses.size() == 1);
    REQUIRE(responses[0].verdict.result == Result::Refuse);
    REQUIRE_FALSE(responses[0].verdict.confirmed);
    REQUIRE(claim(simulation, remote, "east-a~1.k").result == Result::Proceed);
}
