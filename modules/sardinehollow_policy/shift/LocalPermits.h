#pragma once

#include "sardinehollow_policy/shift/LocalPermitsSettings.h"
#include "sardinehollow_policy/shift/PermitGrant.h"
#include "sardinehollow_policy/shift/PermitRequest.h"

#include <cstdint>
#include <optional>

namespace sardinehollow::policy {

/**
 * The permits of one shift that a daemon other than the cap enforcer has. Each admits one shifted
 * request until it expires. Not safe for concurrent use.
 */
class LocalPermits
{
public:
    explicit LocalPermits(LocalPermitsSettings settings);

    /**
     * Returns the request to send now, if one is due: to obtain permits, to report used ones, to
     * acknowledge a generation, or as a keep-alive that shows the enforcer that this daemon still
     * uses it. wanted is the number of unused permits to have.
     */
    std::optional<PermitRequest> nextRequest(std::uint32_t wanted, std::uint64_t generation,
                                             core::Instant now);
    /** Adds the permits of a grant. Ignores a grant for any but the latest request, and repeats. */
    void onGrant(const PermitGrant &grant, core::Instant now);
    /** Discards all permits. To be called when the enforcer is unreachable or another one. */
    void discardAll();

    /** Uses one permit to admit a request; false if there is no valid one. */
    bool usePermit(core::Instant now);
    /** Returns the number of valid permits. */
    std::uint32_t permits(core::Instant now) const;

private:
    const LocalPermitsSettings m_settings;
    std::uint64_t m_enforcerIncarnation = 0;
    std::uint32_t m_permits = 0;
    core::Instant m_expiry {0};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_reportedSpent = 0;
    std::uint64_t m_reportedGeneration = 0;
    std::optional<core::Instant> m_lastRequest;
    bool m_isAnswered = true;
};

} // namespace sardinehollow::policy
