#include "sardinehollow_standin/backend/SimulatedBackend.h"

#include "sardinehollow_core/hash/StableHash.h"

namespace sardinehollow::standin {

namespace {

constexpr std::chrono::seconds leavingGracePeriod {3};
constexpr std::size_t maxLoadSamples = 10'000;

} // namespace

SimulatedBackend::SimulatedBackend(StandinBackendSettings backend, RunCounter &counter,
                                   const core::MonotonicClock &clockIn, std::uint64_t seed)
    : settings(std::move(backend))
    , runCounter(counter)
    , clock(clockIn)
    , loadLagMilliseconds(settings.loadLag.count())
    , m_random(core::combineHashes(core::stableHash(settings.name), seed))
    , m_startTime(clockIn.now())
{ }

bool SimulatedBackend::acquireSlot()
{
    const std::uint32_t occupied = ++inFlight;
    recordLoad();
    if (occupied > settings.slots)
        return false;
    std::uint32_t highest = highestInFlight;
    while (occupied > highest && !highestInFlight.compare_exchange_weak(highest, occupied))
        continue;
    return true;
}

void SimulatedBackend::releaseSlot()
{
    --inFlight;
    recordLoad();
}

core::Duration SimulatedBackend::serviceTime(const std::string &path)
{
    std::chrono::duration<double, std::milli> time = settings.serviceTime;
    std::size_t longestPrefix = 0;
    for (const PathServiceTime &candidate : settings.serviceTimes) {
        const bool matches = path.rfind(candidate.pathPrefix, 0) == 0;
        if (!matches || candidate.pathPrefix.size() < longestPrefix)
            continue;
        longestPrefix = candidate.pathPrefix.size();
        time = candidate.duration;
    }
    double factor = slowness;
    if (clock.now() - m_startTime.load() < settings.coldStart)
        factor *= settings.coldFactor;
    const std::lock_guard lock(m_mutex);
    factor *= 1.0 + settings.jitter * (2.0 * m_random.nextUnit() - 1.0);
    return std::chrono::duration_cast<core::Duration>(time * factor);
}

std::uint32_t SimulatedBackend::reportedInFlight()
{
    const std::int64_t claimed = claimedInFlight;
    if (claimed >= 0)
        return static_cast<std::uint32_t>(claimed);
    const std::int64_t lag = loadLagMilliseconds;
    if (lag == 0)
        return inFlight;
    const core::Instant reportTime = clock.now() - std::chrono::milliseconds(lag);
    const std::lock_guard lock(m_mutex);
    std::uint32_t reported = 0;
    for (const auto &[time, load] : m_loadHistory) {
        if (time <= reportTime)
            reported = load;
    }
    return reported;
}

void SimulatedBackend::setLeaving(bool leavingNow)
{
    if (leavingNow && !leaving)
        m_leavingSince = clock.now();
    leaving = leavingNow;
}

bool SimulatedBackend::isPastLeavingGracePeriod() const
{
    return leaving && clock.now() - m_leavingSince.load() > leavingGracePeriod;
}

void SimulatedBackend::crash(std::chrono::milliseconds duration)
{
    ++crashes;
    m_startTime = clock.now() + duration;
    if (listener)
        listener->refuseFor(duration);
}

void SimulatedBackend::recordLoad()
{
    if (loadLagMilliseconds == 0)
        return;
    const std::lock_guard lock(m_mutex);
    m_loadHistory.emplace_back(clock.now(), inFlight.load());
    if (m_loadHistory.size() > maxLoadSamples)
        m_loadHistory.pop_front();
}

} // namespace sardinehollow::standin
