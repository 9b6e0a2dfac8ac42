#include "AdmissionSimulation.h"

#include "policy/RegionsTestSupport.h"

using namespace sardinehollow;
using namespace std::chrono_literals;
using policy::AttemptOutcome;

namespace {

// Offers, completions and short time steps have several values, so that they are drawn more often
// than faults.
enum Operation {
    Offer,
    OfferMore,
    OfferUrgent,
    CompleteWithFailure,
    CompleteSuccessfully,
    RepeatCompletion,
    Cancel,
    AdvanceShort,
    AdvanceMore,
    AdvanceLong,
    Pause,
    Resume,
    SignalLeaving,
    ReportLoad,
    Drain,
    OperationCount,
};

constexpr std::array<AttemptOutcome, 6> failures {
        AttemptOutcome::NotRun,   AttemptOutcome::ConnectFailed, AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut, AttemptOutcome::Truncated,     AttemptOutcome::CallerLeft};
constexpr std::size_t stepCount = 120;
constexpr std::array<core::Duration, 4> remainingTimes {60ms, 500ms, 2s, 6s};

void run(tests::AdmissionSimulation &simulation, const tests::Step &step)
{
    const std::size_t first = step.subject;
    const std::size_t second = step.amount;
    switch (static_cast<Operation>(step.action)) {
    case Offer:
    case OfferMore:
        simulation.offer(first % 2, second % 3,
                         remainingTimes[(first + second) % remainingTimes.size()]);
        break;
    case OfferUrgent:
        simulation.offer(first % 2, 0, remainingTimes[second % remainingTimes.size()]);
        break;
    case CompleteWithFailure:
        simulation.complete(first, failures[second % failures.size()]);
        break;
    case CompleteSuccessfully:
        simulation.complete(first, AttemptOutcome::Completed);
        break;
    case RepeatCompletion:
        simulation.repeatCompletion(first);
        break;
    case Cancel:
        simulation.cancel(first);
        break;
    case AdvanceShort:
    case AdvanceMore:
        simulation.advanceTime(20ms * (1 + first % 5));
        break;
    case AdvanceLong:
        simulation.advanceTime(500ms * (1 + first % 8));
        break;
    case Pause:
        simulation.pause(first % 2);
        break;
    case Resume:
        simulation.resume(first % 2);
        break;
    case SignalLeaving:
        simulation.report(first % 3, 0, 3, second % 3 == 0);
        break;
    case ReportLoad:
        simulation.report(first % 3, static_cast<std::uint32_t>(second % 5),
                          static_cast<std::uint32_t>(first % 7), false);
        break;
    case Drain:
        simulation.setDrained(first % 3, second % 3 == 0);
        break;
    case OperationCount:
        break;
    }
}

} // namespace

// Guards against exceeded slots, starved ranks, unsafe or unbounded retries, dispatch to leaving
// servers or after deadlines, effects of duplicate or late completions, and admission without a
// lease.
TEST_CASE("No sequence of requests, faults, pauses and changes of ownership breaks a guarantee")
{
    std::uint64_t dispatches = 0;
    const bool holds = rc::check([&dispatches] {
        tests::AdmissionSimulation simulation;
        simulation.advanceTime(4s);
        for (const tests::Step &step : *tests::steps(stepCount, OperationCount))
            run(simulation, step);
        simulation.finish();
        dispatches += simulation.dispatches();
        RC_ASSERT(simulation.violations() == std::vector<std::string> {});
    });
    REQUIRE(holds);
    // A policy that refuses every request would meet the checks above.
    REQUIRE(dispatches > 500);
}
