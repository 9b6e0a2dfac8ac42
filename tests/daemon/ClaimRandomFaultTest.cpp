#include "daemon/ClaimSimulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sardinehollow;
using namespace std::chrono_literals;

namespace {

using tests::ClaimSimulation;
using tests::FaultyStore;
using Result = peer::ClaimVerdict::Result;
using Plan = ClaimSimulation::Plan;

constexpr std::size_t ownerCount = 2;

peer::ClaimServiceSettings smallSettings()
{
    peer::ClaimServiceSettings settings;
    // Small limits, so that epochs end and batches split within a short script.
    settings.epochBytes = 2000;
    settings.batchBytes = 300;
    settings.epochAge = 20s;
    return settings;
}

/** Applies the event that a random number selects. */
void apply(ClaimSimulation &simulation, std::uint32_t randomNumber)
{
    const std::size_t node = (randomNumber / 32) % simulation.nodes.size();
    const std::uint32_t argument = randomNumber / 256;
    ClaimSimulation::Node &chosen = simulation.nodes[node];
    static const std::array plans {Plan::Run,
                                   Plan::Run,
                                   Plan::Run,
                                   Plan::Shed,
                                   Plan::DieBeforeDispatch,
                                   Plan::DieAfterDispatch};
    static const std::array faults {
            FaultyStore::Fault::None,        FaultyStore::Fault::Down,
            FaultyStore::Fault::LoseReplies, FaultyStore::Fault::LoseRequests,
            FaultyStore::Fault::Delay,       FaultyStore::Fault::LoseReplyThenDown};
    switch (randomNumber % 32) {
    case 23:
        chosen.paused = !chosen.paused;
        break;
    case 1:
        chosen.isolated = !chosen.isolated;
        break;
    case 2:
    case 3:
        chosen.store->fault = faults[argument % faults.size()];
        chosen.store->faultyCalls = argument % 3 == 0 ? -1 : static_cast<int>(argument % 4);
        break;
    case 4:
        chosen.store->applyDelayed();
        break;
    case 5:
        simulation.restart(node);
        break;
    case 6:
        if (node < ownerCount)
            chosen.owner = !chosen.owner;
        break;
    case 7:
        simulation.store.outage = !simulation.store.outage;
        break;
    case 8:
        simulation.run(std::chrono::milliseconds(1000 + argument % 4000));
        break;
    case 9:
        simulation.finishRuns(node);
        break;
    case 10:
        if (argument % 2 == 0)
            chosen.slowStore = !chosen.slowStore;
        else
            chosen.slowCalls = true;
        break;
    case 11:
        simulation.deliver(argument, true);
        break;
    case 12:
        simulation.clearFaults();
        break;
    case 13:
    case 14:
    case 15:
    case 16:
    case 17:
    case 18:
    case 19:
    case 20: {
        // Few keys of the epochs so far, so that most attempts are repeats.
        const std::string key = "east-a~" + std::to_string(1 + argument % 6) + "."
                + std::to_string((argument / 8) % 3);
        const std::string kind = (argument / 8) % 3 == 0 ? "memory" : "post";
        simulation.attempt(node, key, plans[(argument / 64) % plans.size()], kind);
        break;
    }
    case 21:
    case 22:
        simulation.deliver(argument);
        break;
    default:
        simulation.run(std::chrono::milliseconds(10 + argument % 100));
        break;
    }
}

/** Clears all faults and claims every key with a recorded outcome again. */
void settleAndCheck(ClaimSimulation &simulation)
{
    simulation.clearFaults();
    simulation.setOnlyOwner(0);
    // From here on no open attempt may kill its daemon.
    for (ClaimSimulation::Attempt &attempt : simulation.attempts)
        attempt.plan = Plan::Run;
    for (std::size_t node = 0; node < simulation.nodes.size(); ++node)
        simulation.finishRuns(node);
    simulation.run(15s);
    for (const std::string &key : simulation.acknowledged) {
        const std::string kind = key.back() == '0' ? "memory" : "post";
        const std::size_t repeat = simulation.attempt(ownerCount, key, Plan::Run, kind);
        simulation.run(1s);
        if (simulation.verdict(repeat).result != Result::Replay)
            simulation.violation = "finished key " + key + " lost its outcome: "
                    + std::string(policy::toName(simulation.verdict(repeat).reason));
    }
}

} // namespace

TEST_CASE("No key runs twice and every answer is correct under random faults")
{
    // Guards against double runs and false not-run answers under any sequence of faults.
    const bool passed = rc::check("claims", [] {
        const auto script = *rc::gen::container<std::vector<std::uint32_t>>(
                120, rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
        ClaimSimulation simulation(ownerCount, smallSettings());
        simulation.setOnlyOwner(0);
        simulation.run(200ms);
        for (const std::uint32_t randomNumber : script) {
            apply(simulation, randomNumber);
            if (!simulation.violation.empty())
                RC_FAIL(simulation.violation);
        }
        settleAndCheck(simulation);
        if (!simulation.violation.empty())
            RC_FAIL(simulation.violation);
    });
    REQUIRE(passed);
}
