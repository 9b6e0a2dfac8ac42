#include "sardinehollow_load/run/LoadRun.h"

#include "sardinehollow_core/random/SeededRandom.h"
#include "sardinehollow_load/faults/FaultInjector.h"
#include "sardinehollow_load/run/SystemInspector.h"
#include "sardinehollow_load/schedule/ArrivalSchedule.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace sardinehollow::load {

namespace {

constexpr std::chrono::milliseconds inspectionInterval {250};
constexpr std::chrono::seconds progressInterval {5};

} // namespace

LoadRun::LoadRun(const Experiment &experiment, const Target &target, std::uint64_t seed)
    : m_experiment(experiment)
    , m_target(target)
    , m_arrivals(experiment.kinds.size())
    , m_nextArrivals(experiment.kinds.size())
    , m_kinds(experiment.kinds.size())
{
    core::SeededRandom random(seed);
    for (const Arrival &arrival : drawArrivals(experiment, random)) {
        m_arrivals[arrival.kind].push_back(arrival);
        ++m_requestCount;
    }
    for (std::uint32_t number = 0; number < experiment.callers; ++number)
        m_callers.emplace_back(m_clock, target, number);
}

void LoadRun::execute()
{
    const core::Instant start = m_clock.now();
    SystemInspector inspector(m_target);
    std::atomic<bool> finished {false};
    std::thread monitor([&] {
        while (!finished) {
            inspector.observeGenerations();
            printProgress(start);
            std::this_thread::sleep_for(inspectionInterval);
        }
    });
    std::thread faults([this, start] { applyFaults(start); });
    std::vector<std::thread> workers;
    for (std::size_t kind = 0; kind < m_experiment.kinds.size(); ++kind) {
        for (std::uint32_t index = 0; index < m_experiment.threads; ++index)
            workers.emplace_back([this, start, kind] { sendRequests(start, kind); });
    }
    for (std::thread &worker : workers)
        worker.join();
    faults.join();
    finished = true;
    monitor.join();
    m_violationCounts = inspector.inspect(m_notRunKeys);
    std::uint64_t wrongAnswers = 0;
    for (const KindResults &kind : m_kinds)
        wrongAnswers += kind.count(RequestOutcome::WrongAnswer);
    m_violationCounts["wrongAnswers"] = wrongAnswers;
}

void LoadRun::sendRequests(core::Instant start, std::size_t kind)
{
    HttpClient client;
    while (true) {
        const std::size_t index = m_nextArrivals[kind]++;
        if (index >= m_arrivals[kind].size())
            return;
        const Arrival &arrival = m_arrivals[kind][index];
        // Latency counts from the intended send time; otherwise requests that the tool itself sends
        // late would hide their waiting time (coordinated omission).
        const core::Instant intended = start + arrival.at;
        waitUntil(intended);
        const RequestResult result = m_callers[arrival.caller].request(
                client, m_experiment.kinds[kind], arrival.number, intended);
        record(arrival, result);
    }
}

void LoadRun::applyFaults(core::Instant start)
{
    std::vector<ScheduledFault> faults = m_experiment.faults;
    std::stable_sort(faults.begin(), faults.end(),
                     [](const ScheduledFault &left, const ScheduledFault &right) {
                         return left.atSecond < right.atSecond;
                     });
    FaultInjector injector(m_experiment, m_target);
    for (const ScheduledFault &fault : faults) {
        const std::chrono::duration<double> at(fault.atSecond);
        waitUntil(start + std::chrono::duration_cast<core::Duration>(at));
        const core::Result<void> applied = injector.apply(fault);
        std::cerr << "at " << fault.atSecond << " s: " << toName(fault.action) << " "
                  << fault.target << fault.switches << (applied ? "" : " failed: ")
                  << (applied ? std::string() : applied.error().text()) << "\n";
    }
}

void LoadRun::printProgress(core::Instant start)
{
    const auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - start);
    const bool due = elapsed % progressInterval < inspectionInterval;
    if (due)
        std::cerr << elapsed.count() / 1000 << " s: " << m_finishedCount << " of " << m_requestCount
                  << " requests finished\n";
}

void LoadRun::record(const Arrival &arrival, const RequestResult &result)
{
    ++m_finishedCount;
    const std::lock_guard lock(m_mutex);
    m_kinds[arrival.kind].record(result);
    if (result.outcome == RequestOutcome::WrongAnswer)
        std::cerr << "wrong answer: " << result.mismatch << "\n";
    const bool notRun = result.outcome == RequestOutcome::NotRun && result.allNotRun;
    if (notRun && !result.key.empty())
        m_notRunKeys.insert(result.key);
}

void LoadRun::waitUntil(core::Instant instant) const
{
    const core::Duration remaining = instant - m_clock.now();
    if (remaining.count() > 0)
        std::this_thread::sleep_for(remaining);
}

} // namespace sardinehollow::load
