#include "sardinehollow_policy/shift/CapEnforcer.h"

#include <algorithm>

namespace sardinehollow::policy {

CapEnforcer::CapEnforcer(CapEnforcerSettings settings, core::Instant now)
    : m_settings(std::move(settings))
    , m_lastAdvance(now)
    , m_holdOffUntil(now + m_settings.holdOff())
{ }

void CapEnforcer::setCap(std::uint32_t capPerSecond, std::uint64_t generation, core::Instant now)
{
    advance(now);
    if (!m_caps.empty() && generation <= m_caps.back().generation)
        return;
    m_caps.push_back({generation, capPerSecond});
    removeSupersededCaps();
}

void CapEnforcer::advance(core::Instant now)
{
    if (now - m_lastAdvance > m_settings.lease)
        m_holdOffUntil = now + m_settings.holdOff();
    m_lastAdvance = std::max(m_lastAdvance, now);
    for (auto item = m_holderStates.begin(); item != m_holderStates.end();) {
        HolderState &state = item->second;
        if (state.outstanding > 0 && state.expiry <= now) {
            // Without a report, all permits may have been used just before they expired.
            m_window.add(state.outstanding, state.expiry);
            state.outstanding = 0;
        }
        const bool idle = now - state.lastRequest > m_settings.holdOff();
        item = idle && state.outstanding == 0 ? m_holderStates.erase(item) : std::next(item);
    }
    m_window.advance(now);
    removeSupersededCaps();
}

bool CapEnforcer::admit(core::Instant now)
{
    advance(now);
    if (!isAdmitting(now) || available() == 0)
        return false;
    m_window.add(1, now);
    return true;
}

std::optional<PermitGrant> CapEnforcer::onRequest(const PermitRequest &request, core::Instant now)
{
    advance(now);
    HolderState &state = m_holderStates[request.holder];
    if (request.sequence <= state.sequence)
        return std::nullopt;
    applyReport(state, request, now);
    removeSupersededCaps();
    PermitGrant grant {m_settings.shift, m_settings.incarnation, request.sequence, 0,
                       m_settings.permitLifetime};
    const std::uint32_t missing = request.wanted - std::min(request.wanted, request.holding);
    state.wantsPermits = missing > 0;
    if (!isAdmitting(now) || missing == 0)
        return grant;
    // Holders that want permits share the free ones evenly, but each request gets at least one
    // while any is free.
    const std::uint32_t fairShare
            = std::max(available() / requesterCount(), std::min(available(), 1U));
    grant.added = std::min(missing, fairShare);
    state.outstanding += grant.added;
    if (grant.added > 0)
        state.expiry = now + m_settings.permitLifetime;
    return grant;
}

std::uint32_t CapEnforcer::cap() const
{
    std::uint32_t lowest = m_caps.empty() ? 0 : m_caps.back().perSecond;
    for (const Cap &item : m_caps)
        lowest = std::min(lowest, item.perSecond);
    return lowest;
}

std::uint32_t CapEnforcer::occupied() const
{
    std::uint32_t sum = m_window.count();
    for (const auto &[holder, state] : m_holderStates)
        sum += state.outstanding;
    return sum;
}

void CapEnforcer::applyReport(HolderState &state, const PermitRequest &request, core::Instant now)
{
    const bool isKnownHolder
            = state.sequence > 0 && request.enforcerIncarnation == m_settings.incarnation;
    if (isKnownHolder) {
        // Outstanding permits that the holder no longer has were either used or lost. Used ones
        // count from now, because the report does not give the time of their use. `spent` may
        // include permits that were already counted when they expired. Limiting it to the
        // outstanding permits that the holder no longer has avoids counting these twice.
        const std::uint32_t kept = std::min(state.outstanding, request.holding);
        const std::uint64_t spent
                = std::min<std::uint64_t>(request.spent - state.spent, state.outstanding - kept);
        m_window.add(static_cast<std::uint32_t>(spent), now);
        state.outstanding = kept;
    }
    state.sequence = request.sequence;
    state.generation = request.generation;
    state.spent = request.spent;
    state.lastRequest = now;
}

std::uint32_t CapEnforcer::available() const
{
    return cap() - std::min(cap(), occupied());
}

std::uint32_t CapEnforcer::requesterCount() const
{
    std::uint32_t count = 0;
    for (const auto &[holder, state] : m_holderStates)
        count += state.wantsPermits
                && m_lastAdvance - state.lastRequest < m_settings.permitLifetime;
    return std::max(count, 1U);
}

void CapEnforcer::removeSupersededCaps()
{
    while (m_caps.size() > 1) {
        const std::uint64_t next = m_caps[1].generation;
        const bool isOldCapInUse
                = std::any_of(m_holderStates.begin(), m_holderStates.end(), [next](auto &item) {
                      return item.second.outstanding > 0 && item.second.generation < next;
                  });
        if (isOldCapInUse)
            return;
        m_caps.erase(m_caps.begin());
    }
}

} // namespace sardinehollow::policy
