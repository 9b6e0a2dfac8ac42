#include "sardinehollow_daemon/steering/ShiftAdmission.h"

#include "sardinehollow_core/hash/RendezvousHash.h"
#include "sardinehollow_core/hash/StableHash.h"
#include "sardinehollow_policy/shift/ShiftMembership.h"

#include <algorithm>

namespace sardinehollow::daemon {

namespace {

// Fraction of a second's demand for which permits are requested in advance: about the interval
// between two grants.
constexpr double permitDemandFraction = 0.3;
// A permit is kept in reserve for this long after a request. The first request after a longer idle
// time is refused; its retry finds a permit.
constexpr core::Duration demandTimeout = std::chrono::seconds(10);
// The other daemons detect a daemon's death after 2 s and one heartbeat interval. Its support must
// last until then, or each death would stop the shift for a hold-off.
constexpr core::Duration supportLifetime = std::chrono::seconds(3);
// Longest time from the sending of a request to its effect; part of the hold-off of a successor.
constexpr core::Duration maxRequestDelay = std::chrono::seconds(1);

} // namespace

ShiftAdmission::ShiftAdmission(const std::string &shift, policy::PermitHolder holder)
    : m_holder(std::move(holder))
    , m_shiftHash(core::stableHash(shift))
    , m_localPermits({shift, m_holder})
{ }

void ShiftAdmission::configure(const config::Shift &shift, std::uint32_t capPerSecond,
                               std::uint64_t generation, core::Duration answerLifetime,
                               core::Instant now)
{
    if (shift.fraction < m_callerFraction) {
        // Callers that are no longer shifted keep arriving until their look-up answers expire.
        if (shift.fraction != m_shift.fraction)
            m_fractionExpiry = now + answerLifetime;
    } else {
        m_callerFraction = shift.fraction;
        m_fractionExpiry.reset();
    }
    m_shift = shift;
    m_cap = capPerSecond;
    m_generation = generation;
    if (m_enforcer)
        m_enforcer->setCap(m_cap, m_generation, now);
}

void ShiftAdmission::onPeers(const policy::PeerView &peers, std::uint64_t incarnation,
                             core::Instant now)
{
    updateSupporters(peers, now);
    const policy::Peer &self = peers.local();
    std::vector<std::string> candidates;
    for (const policy::Peer &peer : peers.peers) {
        if (peer.failureDomain == self.failureDomain && !peer.leaving)
            candidates.push_back(peer.vm);
    }
    const auto owner = core::rendezvousOwner(m_shift.name + "/" + self.failureDomain, candidates);
    const std::string vm = owner ? candidates[*owner] : std::string();
    if (vm == m_enforcerVm)
        return;
    m_enforcerVm = vm;
    m_localPermits.discardAll();
    m_enforcer.reset();
    if (vm != self.vm)
        return;
    m_enforcerIncarnation = incarnation;
    startEnforcer(now);
}

void ShiftAdmission::advance(core::Instant now)
{
    if (m_fractionExpiry && now >= *m_fractionExpiry) {
        m_callerFraction = m_shift.fraction;
        m_fractionExpiry.reset();
    }
    checkSupport(now);
    if (m_enforcer)
        m_enforcer->advance(now);
}

bool ShiftAdmission::isSubjectToCap(const std::string &workKind, std::uint64_t callerHash,
                                    const std::string &homeRegion) const
{
    // Uses the target fraction instead of the local step: the daemon that answered the caller's
    // look-up may be at a later step.
    return m_shift.fromRegion == homeRegion && policy::movesWorkKind(m_shift, workKind)
            && policy::isWithinFraction(m_shiftHash, callerHash, m_callerFraction);
}

bool ShiftAdmission::admit(core::Instant now)
{
    m_demand.add(1, now);
    m_lastDemand = now;
    const bool admitted = tryAdmit(now);
    ++(admitted ? m_admitted : m_refused);
    return admitted;
}

std::optional<policy::PermitRequest> ShiftAdmission::nextRequest(core::Instant now)
{
    if (m_enforcer || m_enforcerVm.empty())
        return std::nullopt;
    return m_localPermits.nextRequest(wantedPermits(now), m_generation, now);
}

std::optional<policy::PermitGrant> ShiftAdmission::onRequest(const policy::PermitRequest &request,
                                                             core::Instant now)
{
    checkSupport(now);
    const auto supporter = m_supporters.find(request.holder.vm);
    // A daemon outside the view gets no answer, as the end of its support would not be noticed.
    if (!m_enforcer || supporter == m_supporters.end())
        return std::nullopt;
    supporter->second.lastRequest = now;
    return m_enforcer->onRequest(request, now);
}

void ShiftAdmission::onGrant(const std::string &sender, std::uint64_t holderIncarnation,
                             const policy::PermitGrant &grant, core::Instant now)
{
    if (sender == m_enforcerVm && holderIncarnation == m_holder.incarnation)
        m_localPermits.onGrant(grant, now);
}

void ShiftAdmission::updateSupporters(const policy::PeerView &peers, core::Instant now)
{
    const policy::Peer &self = peers.local();
    std::map<std::string, Supporter> supporters;
    for (const policy::Peer &peer : peers.peers) {
        if (peer.failureDomain != self.failureDomain || peer.vm == self.vm)
            continue;
        const auto known = m_supporters.find(peer.vm);
        const bool same
                = known != m_supporters.end() && known->second.incarnation == peer.incarnation;
        supporters[peer.vm] = same ? known->second : Supporter {peer.incarnation, now};
    }
    m_supporters = std::move(supporters);
}

bool ShiftAdmission::isSupported(core::Instant now) const
{
    return std::all_of(m_supporters.begin(), m_supporters.end(), [now](const auto &item) {
        return now - item.second.lastRequest < supportLifetime;
    });
}

void ShiftAdmission::checkSupport(core::Instant now)
{
    // After a pause, messages that were sent long ago may be handled.
    const bool paused = now - m_lastSupportCheck > maxRequestDelay;
    m_lastSupportCheck = std::max(m_lastSupportCheck, now);
    if (m_enforcer && (paused || !isSupported(now)))
        startEnforcer(now);
}

void ShiftAdmission::startEnforcer(core::Instant now)
{
    policy::CapEnforcerSettings settings;
    settings.shift = m_shift.name;
    settings.incarnation = m_enforcerIncarnation;
    settings.lease = supportLifetime + maxRequestDelay;
    m_enforcer.emplace(settings, now);
    m_enforcer->setCap(m_cap, m_generation, now);
}

bool ShiftAdmission::tryAdmit(core::Instant now)
{
    checkSupport(now);
    return m_enforcer ? m_enforcer->admit(now) : m_localPermits.usePermit(now);
}

std::uint32_t ShiftAdmission::wantedPermits(core::Instant now)
{
    m_demand.advance(now);
    if (!m_lastDemand || now - *m_lastDemand > demandTimeout)
        return 0;
    const auto expected = static_cast<std::uint32_t>(m_demand.count() * permitDemandFraction) + 1;
    return std::min(expected, m_cap);
}

} // namespace sardinehollow::daemon
