#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <map>
#include <string>
#include <vector>

namespace sardinehollow::gateway {

/**
 * Decides when a key that is missing from the store counts as removed. After an outage of the store
 * leases may have expired although their holders are alive and will write their keys again.
 */
class DelayedRemoval
{
public:
    explicit DelayedRemoval(core::Duration reappearanceTime);

    void onStoreRegained(core::Instant now) { m_regainedAt = now; }
    /** The store was restored from an older copy, which lacks entries of living holders. */
    void onStoreRestored(core::Instant now)
    {
        m_regainedAt = now;
        m_restoredAt = now;
    }
    /**
     * Takes the keys that are missing after one update from the store. The update removed that many
     * of the known keys, including those that it wrote again. Returns the keys to remove now; the
     * others become due after the reappearance time, unless they are written again before.
     */
    std::vector<std::string> onMissing(const std::vector<std::string> &keys, std::size_t removed,
                                       std::size_t known, core::Instant now);
    /** Cancels the pending removal of a key that is in the store. */
    void onPresent(const std::string &key) { m_dueTimes.erase(key); }
    /** Returns the keys that were not written again in time; each is returned once. */
    std::vector<std::string> takeDue(core::Instant now);

private:
    const core::Duration m_reappearanceTime;
    /** Time of the last reconnection to the store; initially far in the past. */
    core::Instant m_regainedAt = -std::chrono::hours(1);
    /** Time of the last restore; initially far in the past. */
    core::Instant m_restoredAt = -std::chrono::hours(1);
    std::map<std::string, core::Instant> m_dueTimes;
};

} // namespace sardinehollow::gateway
