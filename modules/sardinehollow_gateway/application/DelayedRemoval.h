#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <map>
#include <string>
#include <vector>

namespace sardinehollow::gateway {

/**
 * Decides when a key that vanished from the store counts as gone. After an outage of the store
 * leases may have lapsed although their holders live and write their keys again shortly.
 */
class DelayedRemoval
{
public:
    explicit DelayedRemoval(core::Duration reappearanceTime);

    void onStoreRegained(core::Instant now) { m_regainedAt = now; }
    /**
     * Takes the keys that are missing after one report of the store, which removed so many of the
     * known ones, also those that it wrote again. Returns the keys that are gone at once; the
     * others are due later unless they are kept.
     */
    std::vector<std::string> onMissing(const std::vector<std::string> &keys, std::size_t removed,
                                       std::size_t known, core::Instant now);
    /** The key is in the store. */
    void keep(const std::string &key) { m_due.erase(key); }
    /** Takes the keys that did not come back in time. */
    std::vector<std::string> takeDue(core::Instant now);

private:
    const core::Duration m_reappearanceTime;
    /** Negative infinity in effect: no outage yet. */
    core::Instant m_regainedAt = -std::chrono::hours(1);
    std::map<std::string, core::Instant> m_due;
};

} // namespace sardinehollow::gateway
