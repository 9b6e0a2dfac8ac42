#pragma once

#include "sardinehollow_config/model/Shift.h"
#include "sardinehollow_policy/peers/PeerView.h"
#include "sardinehollow_policy/shift/CapEnforcer.h"
#include "sardinehollow_policy/shift/LocalPermits.h"

#include <map>
#include <optional>
#include <string>

namespace sardinehollow::daemon {

/**
 * Admission control of one shift at a daemon of a destination failure domain. The daemon is the cap
 * enforcer of the failure domain or uses permits that the enforcer grants. An enforcer keeps its
 * lease only while every other live daemon of the failure domain sends it requests; when one has
 * not for some time, it may follow another enforcer, and this one restarts its hold-off. Not safe
 * for concurrent use.
 */
class ShiftAdmission
{
public:
    ShiftAdmission(const std::string &shift, policy::PermitHolder holder);

    /** Applies the shift of a newer configuration. */
    void configure(const config::Shift &shift, std::uint32_t capPerSecond, std::uint64_t generation,
                   core::Duration answerLifetime, core::Instant now);
    /** Selects the enforcer by rendezvous hashing; incarnation is for a new local enforcer. */
    void onPeers(const policy::PeerView &peers, std::uint64_t incarnation, core::Instant now);
    void advance(core::Instant now);

    /** Whether the cap applies to a request, which the shift's work kinds and callers decide. */
    bool isSubjectToCap(const std::string &workKind, std::uint64_t callerHash,
                        const std::string &homeRegion) const;
    /** Admits a request to which the cap applies; false if the cap is reached. */
    bool admit(core::Instant now);

    /** Returns the permit request to send to the enforcer now, if one is due. */
    std::optional<policy::PermitRequest> nextRequest(core::Instant now);
    /** Answers a permit request if this daemon is the enforcer. */
    std::optional<policy::PermitGrant> onRequest(const policy::PermitRequest &request,
                                                 core::Instant now);
    void onGrant(const std::string &sender, std::uint64_t holderIncarnation,
                 const policy::PermitGrant &grant, core::Instant now);

    /** VM of the enforcer; empty if no daemon is eligible. */
    const std::string &enforcer() const { return m_enforcerVm; }
    std::uint32_t capPerSecond() const { return m_enforcer ? m_enforcer->cap() : m_cap; }
    std::uint64_t admitted() const { return m_admitted; }
    std::uint64_t refused() const { return m_refused; }

private:
    /** A live daemon of the failure domain, whose requests support the local enforcer's lease. */
    struct Supporter
    {
        std::uint64_t incarnation = 0;
        /** Its last request to this daemon, or when its incarnation was first seen. */
        core::Instant lastRequest {0};
    };

    void updateSupporters(const policy::PeerView &peers, core::Instant now);
    bool isSupported(core::Instant now) const;
    /** Restarts the enforcer's hold-off after a pause or when a daemon stops supporting it. */
    void checkSupport(core::Instant now);
    void startEnforcer(core::Instant now);
    bool tryAdmit(core::Instant now);
    std::uint32_t wantedPermits(core::Instant now);

    const policy::PermitHolder m_holder;
    const std::uint64_t m_shiftHash;
    config::Shift m_shift;
    std::uint32_t m_cap = 0;
    std::uint64_t m_generation = 0;
    /** Fraction of callers to which the cap applies; a reduction takes effect with a delay. */
    double m_callerFraction = 0.0;
    std::optional<core::Instant> m_fractionExpiry;
    std::string m_enforcerVm;
    std::optional<policy::CapEnforcer> m_enforcer;
    std::uint64_t m_enforcerIncarnation = 0;
    core::Instant m_lastSupportCheck {0};
    std::map<std::string, Supporter> m_supporters;
    policy::LocalPermits m_localPermits;
    policy::CapWindow m_demand;
    std::optional<core::Instant> m_lastDemand;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace sardinehollow::daemon
