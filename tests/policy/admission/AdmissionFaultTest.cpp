#include "AdmissionSimulation.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace sardinehollow;
using namespace std::chrono_literals;
using policy::AttemptOutcome;

namespace {

struct Fault
{
    std::string name;
    std::function<void(tests::AdmissionSimulation &)> begin;
    std::function<void(tests::AdmissionSimulation &)> end = [](tests::AdmissionSimulation &) {};
};

std::function<void(tests::AdmissionSimulation &)> completeAll(AttemptOutcome outcome)
{
    return [outcome](tests::AdmissionSimulation &simulation) {
        for (std::size_t count = 0; count < 4; ++count)
            simulation.complete(count, outcome);
    };
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> table {
            {"pause beyond the lease", [](auto &simulation) { simulation.pause(0); },
             [](auto &simulation) { simulation.resume(0); }},
            {"pause of the other daemon", [](auto &simulation) { simulation.pause(1); },
             [](auto &simulation) { simulation.resume(1); }},
            {"server leaves", [](auto &simulation) { simulation.report(1, 0, 3, true); }},
            {"server is drained", [](auto &simulation) { simulation.setDrained(0, true); },
             [](auto &simulation) { simulation.setDrained(0, false); }},
            {"load report claims that a server is full",
             [](auto &simulation) { simulation.report(1, 3, 1, false); }},
            {"load report claims 1000 slots",
             [](auto &simulation) { simulation.report(1, 0, 1000, false); }},
            {"connections are lost", completeAll(AttemptOutcome::ConnectionLost)},
            {"servers shed requests", completeAll(AttemptOutcome::NotRun)},
            {"servers are unreachable", completeAll(AttemptOutcome::ConnectFailed)},
            {"attempts time out", completeAll(AttemptOutcome::TimedOut)},
            {"completions are repeated",
             [](auto &simulation) {
                 for (std::size_t count = 0; count < 10; ++count)
                     simulation.repeatCompletion(count);
             }},
            {"callers leave",
             [](auto &simulation) {
                 for (std::size_t count = 0; count < 3; ++count)
                     simulation.cancel(count);
             }},
            {"urgent work surges",
             [](auto &simulation) {
                 for (std::size_t count = 0; count < 60; ++count)
                     simulation.offer(count % 2, 0, 2s);
             }},
    };
    return table;
}

void applyLoad(tests::AdmissionSimulation &simulation, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t kind = 0; kind < 3; ++kind)
            simulation.offer(static_cast<std::size_t>(round) % 2, kind, 3s);
        simulation.advanceTime(60ms);
        simulation.complete(0, AttemptOutcome::Completed);
        simulation.complete(1, AttemptOutcome::Completed);
        simulation.complete(2, AttemptOutcome::Completed);
    }
}

} // namespace

// Guards against violations that need two faults at the same time, and against admission that does
// not recover from them.
TEST_CASE("Guarantees hold under each pair of faults, and service resumes")
{
    for (const Fault &first : faults()) {
        for (const Fault &second : faults()) {
            INFO(first.name << " and " << second.name);
            tests::AdmissionSimulation simulation;
            simulation.advanceTime(4s);
            applyLoad(simulation, 20);
            first.begin(simulation);
            applyLoad(simulation, 2);
            second.begin(simulation);
            applyLoad(simulation, 50);
            first.end(simulation);
            second.end(simulation);
            simulation.advanceTime(15s);
            const std::uint64_t before = simulation.dispatches();
            applyLoad(simulation, 20);
            REQUIRE(simulation.dispatches() > before + 30);
            simulation.finish();
            REQUIRE(simulation.violations() == std::vector<std::string> {});
        }
    }
}
