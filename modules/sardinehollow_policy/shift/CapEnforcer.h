#pragma once

#include "sardinehollow_policy/shift/CapEnforcerSettings.h"
#include "sardinehollow_policy/shift/CapWindow.h"
#include "sardinehollow_policy/shift/PermitGrant.h"
#include "sardinehollow_policy/shift/PermitRequest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinehollow::policy {

/**
 * Rate limiter for the admissions of a shift in one destination failure domain: over all daemons of
 * the failure domain, they stay within its share of the cap in any window of one second. Admits
 * requests at its own daemon and grants permits to the other daemons. A permit counts against the
 * cap from its grant until one second after its use was reported, or one second after its expiry if
 * no use was reported. Admits and grants nothing during the hold-off after a start or a
 * pause. Not safe for concurrent use.
 */
class CapEnforcer
{
public:
    /** Starts the hold-off. To be created when the daemon becomes the enforcer. */
    CapEnforcer(CapEnforcerSettings settings, core::Instant now);

    /**
     * Sets the share of the cap, in requests per second. Until every holder with outstanding
     * permits has acknowledged the new generation, the lowest of the caps that a holder may still
     * be using applies. A generation that is not newer is ignored.
     */
    void setCap(std::uint32_t capPerSecond, std::uint64_t generation, core::Instant now);
    /**
     * Expires permits and past admissions. Must be called at shorter intervals than the lease; a
     * longer gap counts as a pause and starts the hold-off.
     */
    void advance(core::Instant now);

    /** Admits a shifted request here; false if the cap is exhausted or during the hold-off. */
    bool admit(core::Instant now);
    /** Grants permits. Returns nothing for a duplicate or out-of-order request. */
    std::optional<PermitGrant> onRequest(const PermitRequest &request, core::Instant now);

    /** Returns the cap that applies now, in requests per second; 0 before the first setCap(). */
    std::uint32_t cap() const;
    /** Returns the admissions of the last second plus the permits that may still be used. */
    std::uint32_t occupied() const;
    bool isAdmitting(core::Instant now) const { return now >= m_holdOffUntil; }

private:
    struct Cap
    {
        std::uint64_t generation = 0;
        std::uint32_t perSecond = 0;
    };

    /** What the enforcer knows of one holder from its last request and the grants since then. */
    struct HolderState
    {
        std::uint64_t sequence = 0;
        std::uint64_t generation = 0;
        std::uint64_t spent = 0;
        /** Granted permits that may still be used. */
        std::uint32_t outstanding = 0;
        core::Instant expiry {0};
        core::Instant lastRequest {0};
        bool wantsPermits = false;
    };

    /** Updates the holder's state from the report that its request contains. */
    void applyReport(HolderState &state, const PermitRequest &request, core::Instant now);
    std::uint32_t available() const;
    std::uint32_t requesterCount() const;
    void removeSupersededCaps();

    const CapEnforcerSettings m_settings;
    core::Instant m_lastAdvance;
    core::Instant m_holdOffUntil;
    CapWindow m_window;
    /**
     * Caps by increasing generation. The last one is current; the others may still be in use by a
     * holder.
     */
    std::vector<Cap> m_caps;
    std::map<PermitHolder, HolderState> m_holderStates;
};

} // namespace sardinehollow::policy
