#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/facade/QuarantineEntry.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinehollow::policy {

/**
 * Fingerprints of requests that were in flight on two different backend servers when the connection
 * broke, and that may therefore crash servers. Entries expire and their number is limited.
 * Thread-safe.
 */
class QuarantineList
{
public:
    explicit QuarantineList(const PolicySettings &settings)
        : m_settings(settings)
    { }

    bool contains(std::uint64_t fingerprint, core::Instant now) const;
    /** Records that the connection to the server broke before the response was complete. */
    void onConnectionLost(std::uint64_t fingerprint, const std::string &server, core::Instant now);
    /** Clears the suspicion, as a request that completed does not crash servers. */
    void onCompleted(std::uint64_t fingerprint);
    /** Adds entries announced by a peer; entries with fingerprint 0 are ignored. */
    void merge(const std::vector<QuarantineEntry> &entries, core::Instant now);
    /**
     * Returns the entries found by this daemon. Entries of peers are not announced again, since
     * daemons would then renew them for one another and they would never expire.
     */
    std::vector<QuarantineEntry> localEntries(core::Instant now) const;

private:
    struct Suspicion
    {
        std::string server;
        core::Instant expires {0};
    };

    struct Quarantined
    {
        core::Instant expires {0};
        bool foundLocally = false;
    };

    void insert(std::uint64_t fingerprint, const Quarantined &quarantined, core::Instant now);

    const PolicySettings &m_settings;
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, Suspicion> m_suspicions;
    std::unordered_map<std::uint64_t, Quarantined> m_quarantined;
};

} // namespace sardinehollow::policy
