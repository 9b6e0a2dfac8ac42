#pragma once

#include "sardinehollow_core/time/Instant.h"

namespace sardinehollow::policy {

/**
 * Lease on the slots that the local daemon owns. A daemon that was paused for longer than the lease
 * stops admitting, since peers may have taken over its slots in the meantime; after the next
 * renewal it waits for the hold-off before it admits again.
 */
class OwnershipLease
{
public:
    OwnershipLease(core::Duration duration, core::Duration holdOff)
        : m_duration(duration)
        , m_holdOff(holdOff)
    { }

    /** Starts the lease on the first call; later calls have no effect. */
    void ensureStarted(core::Instant now);
    /** Renews the lease; if it had expired, the hold-off starts. */
    void renew(core::Instant now);
    /** Whether the lease is in force and the hold-off has ended. */
    bool admits(core::Instant now) const;
    /** Returns the end of the latest hold-off. */
    core::Instant admitsAt() const { return m_admitsAt; }

private:
    core::Duration m_duration;
    core::Duration m_holdOff;
    bool m_started = false;
    core::Instant m_renewedAt {0};
    core::Instant m_admitsAt = core::Instant::min();
};

} // namespace sardinehollow::policy
