#include "FakeServer.h"

#include <algorithm>
#include <utility>

namespace sardinehollow::bench {

namespace {

using namespace std::chrono_literals;
using policy::AttemptOutcome;

constexpr core::Duration leavingGrace = 3s;
constexpr std::uint32_t coldRunCount = 30;
constexpr double coldSlowdown = 3.0;
constexpr std::size_t queuePerSlot = 2;
constexpr core::Duration crashDelay = 5ms;

core::Duration scale(core::Duration duration, double factor)
{
    return core::Duration(
            static_cast<core::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

FakeServer::FakeServer(EventQueue &events, const config::BackendServer &server, std::uint64_t seed)
    : m_events(events)
    , m_server(server)
    , m_random(seed)
{ }

void FakeServer::arrive(const Attempt &attempt)
{
    if (attempt->cancelled)
        return;
    if (!m_alive) {
        m_onEnd(attempt, AttemptOutcome::ConnectFailed);
        return;
    }
    if (m_leavingSince && m_events.now() - *m_leavingSince > leavingGrace)
        ++m_requestsAfterLeave;
    if (m_running.size() < m_server.slots) {
        run(attempt);
        return;
    }
    ++m_slotsExceeded;
    if (m_queue.size() < queuePerSlot * m_server.slots)
        m_queue.push_back(attempt);
    else
        m_onEnd(attempt, AttemptOutcome::NotRun);
}

void FakeServer::cancel(const Attempt &attempt)
{
    attempt->cancelled = true;
    m_running.erase(attempt);
    m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), attempt), m_queue.end());
    runQueued();
}

void FakeServer::cancelLeave()
{
    m_leavingSince.reset();
    m_coldRuns = coldRunCount;
}

void FakeServer::crash()
{
    m_alive = false;
    const Running running = std::exchange(m_running, {});
    const std::deque<Attempt> queued = std::exchange(m_queue, {});
    for (const Attempt &attempt : running)
        m_onEnd(attempt, AttemptOutcome::ConnectionLost);
    for (const Attempt &attempt : queued)
        m_onEnd(attempt, AttemptOutcome::ConnectionLost);
}

void FakeServer::restart()
{
    m_alive = true;
    m_coldRuns = coldRunCount;
}

policy::BackendReport FakeServer::report() const
{
    policy::BackendReport report;
    report.backendServer = m_server.name;
    report.inFlight = static_cast<std::uint32_t>(m_running.size() + m_queue.size());
    report.slots = m_server.slots;
    report.leaving = m_leavingSince.has_value();
    if (m_falseReport == FalseReport::Full) {
        report.inFlight = m_server.slots;
        report.slots = 1;
    } else if (m_falseReport == FalseReport::Empty) {
        report.inFlight = 0;
        report.slots = 1000;
    }
    return report;
}

void FakeServer::run(const Attempt &attempt)
{
    m_running.insert(attempt);
    ++attempt->request->runs;
    if (attempt->request->crashesServer) {
        m_events.after(crashDelay, [this, attempt] {
            if (m_running.count(attempt) != 0)
                crash();
        });
        return;
    }
    double factor = m_slowdown;
    if (m_coldRuns > 0) {
        --m_coldRuns;
        factor *= coldSlowdown;
    }
    m_events.after(scale(attempt->request->serviceTime, factor),
                   [this, attempt] { finish(attempt); });
}

void FakeServer::finish(const Attempt &attempt)
{
    if (m_running.erase(attempt) == 0)
        return;
    const bool lost = m_lostResponses > 0.0 && m_random.nextUnit() < m_lostResponses;
    m_onEnd(attempt, lost ? AttemptOutcome::ConnectionLost : AttemptOutcome::Completed);
    runQueued();
}

void FakeServer::runQueued()
{
    while (!m_queue.empty() && m_running.size() < m_server.slots) {
        const Attempt attempt = m_queue.front();
        m_queue.pop_front();
        if (attempt->request->deadline > m_events.now())
            run(attempt);
        else
            m_onEnd(attempt, AttemptOutcome::NotRun);
    }
}

} // namespace sardinehollow::bench
