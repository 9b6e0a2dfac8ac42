#include "sardinehollow_daemon/steering/ShiftSteps.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

using policy::DestinationState;

bool hasServingDaemon(const policy::PeerView &peers, const std::string &failureDomain)
{
    return std::any_of(peers.peers.begin(), peers.peers.end(), [&](const policy::Peer &peer) {
        return peer.failureDomain == failureDomain && !peer.leaving;
    });
}

} // namespace

void ShiftSteps::configure(const config::Configuration &configuration, core::Instant now)
{
    std::map<std::string, TrackedShift> shifts;
    for (const config::Shift &shift : configuration.shifts) {
        const auto known = m_shifts.find(shift.name);
        TrackedShift tracked = known != m_shifts.end()
                ? known->second
                : TrackedShift {shift, configuration.generation, policy::ShiftProgress(shift, now)};
        if (!(tracked.shift == shift)) {
            tracked.shift = shift;
            tracked.generation = configuration.generation;
            tracked.progress.configure(shift);
        }
        shifts.emplace(shift.name, std::move(tracked));
    }
    m_shifts = std::move(shifts);
}

void ShiftSteps::advance(const config::Configuration &configuration, const policy::PeerView &peers,
                         const GenerationSource &lowestGeneration, core::Instant now)
{
    for (auto &[name, tracked] : m_shifts) {
        std::vector<DestinationState> states;
        for (const config::ShiftDestination &destination : tracked.shift.destinations) {
            const std::string &domain = destination.failureDomain;
            // A daemon without the shift in its configuration would admit its callers without a
            // permit.
            const bool ready = hasServingDaemon(peers, domain)
                    && !configuration.isFailureDomainDrained(domain)
                    && lowestGeneration(domain) >= tracked.generation;
            states.push_back(ready ? DestinationState::Ready : DestinationState::Unknown);
        }
        tracked.progress.advance(states, now);
    }
}

policy::ShiftFractions ShiftSteps::fractions() const
{
    policy::ShiftFractions fractions;
    for (const auto &[name, tracked] : m_shifts)
        fractions[name] = tracked.progress.fraction();
    return fractions;
}

} // namespace sardinehollow::daemon
