#pragma once

#include "sardinehollow_config/model/Shift.h"
#include "sardinehollow_policy/peers/PeerView.h"
#include "sardinehollow_policy/shift/CapEnforcer.h"
#include "sardinehollow_policy/shift/PermitWallet.h"

#include <map>
#include <optional>
#include <string>

namespace sardinehollow::daemon {

/**
 * Admissions of one shift at a daemon of one of its destinations: as the cap enforcer of the
 * failure domain or with permits of the enforcer. The enforcer starts its hold-off again when a
 * live daemon of the failure domain has not asked it for some time, because that daemon may have
 * taken another one for the enforcer. Not safe for concurrent use.
 */
class ShiftAdmission
{
public:
    ShiftAdmission(const std::string &shift, policy::PermitHolder holder);

    /** Takes over the shift as of a newer configuration. */
    void configure(const config::Shift &shift, std::uint32_t capPerSecond, std::uint64_t generation,
                   core::Duration answerLifetime, core::Instant now);
    /** Chooses the enforcer; incarnation is for this daemon's new enforcer, if it becomes one. */
    void onPeers(const policy::PeerView &peers, std::uint64_t incarnation, core::Instant now);
    void advance(core::Instant now);

    /** Whether the cap applies to a request. */
    bool counts(const std::string &workKind, std::uint64_t callerHash,
                const std::string &homeRegion) const;
    /** Admits a request that counts; false if the cap leaves no room. */
    bool admit(core::Instant now);

    /** Returns the request to send to the enforcer now, if one is due. */
    std::optional<policy::PermitRequest> ask(core::Instant now);
    /** Answers a request if this daemon is the enforcer. */
    std::optional<policy::PermitGrant> onRequest(const policy::PermitRequest &request,
                                                 core::Instant now);
    void onGrant(const std::string &sender, std::uint64_t holderIncarnation,
                 const policy::PermitGrant &grant, core::Instant now);

    /** VM of the enforcer; empty if no daemon can be it. */
    const std::string &enforcer() const { return m_enforcerVm; }
    std::uint32_t capPerSecond() const { return m_enforcer ? m_enforcer->cap() : m_cap; }
    std::uint64_t admitted() const { return m_admitted; }
    std::uint64_t refused() const { return m_refused; }

private:
    /** A live daemon of the failure domain as the enforcer sees it. */
    struct Supporter
    {
        std::uint64_t incarnation = 0;
        /** When it last asked this daemon, or when its incarnation was first seen. */
        core::Instant lastAsked {0};
    };

    void updateSupporters(const policy::PeerView &peers, core::Instant now);
    bool isSupported(core::Instant now) const;
    /** Starts the hold-off again after a pause or a loss of support. */
    void checkSupport(core::Instant now);
    void startEnforcer(core::Instant now);
    bool take(core::Instant now);
    std::uint32_t wanted(core::Instant now);

    const policy::PermitHolder m_holder;
    const std::uint64_t m_hash;
    config::Shift m_shift;
    std::uint32_t m_cap = 0;
    std::uint64_t m_generation = 0;
    /** Share of the callers whose requests count; after a reduction the former one for a while. */
    double m_fraction = 0.0;
    std::optional<core::Instant> m_fractionEnd;
    std::string m_enforcerVm;
    std::optional<policy::CapEnforcer> m_enforcer;
    std::uint64_t m_enforcerIncarnation = 0;
    core::Instant m_lastCheck {0};
    std::map<std::string, Supporter> m_supporters;
    policy::PermitWallet m_wallet;
    policy::CapWindow m_demand;
    std::optional<core::Instant> m_lastDemand;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace sardinehollow::daemon
