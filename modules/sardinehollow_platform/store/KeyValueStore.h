#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_platform/store/CallCounters.h"
#include "sardinehollow_platform/store/Compare.h"
#include "sardinehollow_platform/store/Freshness.h"
#include "sardinehollow_platform/store/Lease.h"
#include "sardinehollow_platform/store/RangeResult.h"
#include "sardinehollow_platform/store/TransactionResult.h"
#include "sardinehollow_platform/store/Watch.h"
#include "sardinehollow_platform/store/WatchListener.h"
#include "sardinehollow_platform/store/WatchPacing.h"
#include "sardinehollow_platform/store/Write.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::platform {

/**
 * The platform's key-value store. Safe for concurrent use. Errors: Unreachable if the call cannot
 * have taken effect, ResultUnknown if it may have, Unavailable if the store refused it. Revisions
 * grow also when the store is restored from an older copy; see StoreHistory.h.
 */
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    /** Reads one key, or all keys of a prefix. */
    virtual core::Result<RangeResult> range(CallPurpose purpose, const std::string &key,
                                            bool isPrefix, Freshness freshness = Freshness::Current)
            = 0;
    /** Applies all writes atomically if every condition holds, otherwise none. */
    virtual core::Result<TransactionResult> transact(CallPurpose purpose,
                                                     const std::vector<Compare> &conditions,
                                                     const std::vector<Write> &writes)
            = 0;
    /** Grants a lease; the keys attached to it are deleted when it expires or is revoked. */
    virtual core::Result<Lease> grantLease(CallPurpose purpose, std::chrono::seconds lifetime) = 0;
    /** Renews a lease for its whole lifetime; error NotFound if it has expired. */
    virtual core::Result<Lease> keepAliveLease(CallPurpose purpose, std::int64_t id) = 0;
    virtual core::Result<void> revokeLease(CallPurpose purpose, std::int64_t id) = 0;
    /**
     * Starts a watch of a key or prefix for changes after a revision. The listener must outlive the
     * watch; failures after the start are reported to its onEnded().
     */
    virtual core::Result<std::unique_ptr<Watch>> watch(CallPurpose purpose, const std::string &key,
                                                       bool isPrefix, std::int64_t afterRevision,
                                                       WatchListener &listener)
            = 0;

    /** Sets the pacing of running and later watches; ignored where watches do not poll. */
    virtual void setWatchPacing(const WatchPacing & /*pacing*/) { }

    /** Returns the counters of the calls made so far. */
    virtual const CallCounters &callCounters() const = 0;
};

} // namespace sardinehollow::platform
