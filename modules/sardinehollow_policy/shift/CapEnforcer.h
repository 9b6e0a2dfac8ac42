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
 * Keeps the admissions of a shift in one destination failure domain under its share of the cap in
 * any window of one second, over all daemons of the failure domain. Admits for its own daemon and
 * grants permits to the others; a permit counts from its grant until one second after its use or
 * after the last time it may have been used. Admits and grants nothing during the hold-off after a
 * start or a pause. Not safe for concurrent use.
 */
class CapEnforcer
{
public:
    /** Starts the hold-off; create it when the daemon becomes the enforcer. */
    CapEnforcer(CapEnforcerSettings settings, core::Instant now);

    /**
     * Sets the share of the cap. Until every holder that has permits acknowledges the generation or
     * its permits expire, the lowest cap since its generation holds. An older generation is
     * ignored.
     */
    void setCap(std::uint32_t capPerSecond, std::uint64_t generation, core::Instant now);
    /** Takes note of the time; call it more often than the lease. */
    void advance(core::Instant now);

    /** Admits a shifted request at this daemon; false if the cap leaves no room. */
    bool admit(core::Instant now);
    /** Answers a request; nothing for one that was overtaken by a later one. */
    std::optional<PermitGrant> onRequest(const PermitRequest &request, core::Instant now);

    /** The cap in force now. */
    std::uint32_t cap() const;
    /** Admissions of the last second and permits that may still be used. */
    std::uint32_t occupied() const;
    bool isAdmitting(core::Instant now) const { return now >= m_quietUntil; }

private:
    struct Cap
    {
        std::uint64_t generation = 0;
        std::uint32_t perSecond = 0;
    };

    struct Account
    {
        std::uint64_t sequence = 0;
        std::uint64_t generation = 0;
        std::uint64_t spent = 0;
        std::uint32_t outstanding = 0;
        core::Instant expiry {0};
        core::Instant lastRequest {0};
        bool asking = false;
    };

    void settle(Account &account, const PermitRequest &request, core::Instant now);
    std::uint32_t free() const;
    std::uint32_t askers() const;
    void dropAcknowledgedCaps();

    const CapEnforcerSettings m_settings;
    core::Instant m_lastCall;
    core::Instant m_quietUntil;
    CapWindow m_window;
    /** The current cap last, before it those that some holder may still act upon. */
    std::vector<Cap> m_caps;
    std::map<PermitHolder, Account> m_accounts;
};

} // namespace sardinehollow::policy
