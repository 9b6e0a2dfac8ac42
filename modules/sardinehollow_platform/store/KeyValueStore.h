#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_platform/store/CallCounters.h"
#include "sardinehollow_platform/store/Compare.h"
#include "sardinehollow_platform/store/Lease.h"
#include "sardinehollow_platform/store/RangeResult.h"
#include "sardinehollow_platform/store/TransactionResult.h"
#include "sardinehollow_platform/store/Watch.h"
#include "sardinehollow_platform/store/WatchListener.h"
#include "sardinehollow_platform/store/Write.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinehollow::platform {

/**
 * The platform's key-value store. Safe for concurrent use. Errors: Unreachable if the call cannot
 * have taken effect, ResultUnknown if it may have, Unavailable if the store refused it.
 */
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    /** Reads one key, or all keys of a prefix. */
    virtual core::Result<RangeResult> range(CallPurpose purpose, const std::string &key,
                                            bool isPrefix)
            = 0;
    /** Applies all writes if every condition holds. */
    virtual core::Result<TransactionResult> transact(CallPurpose purpose,
                                                     const std::vector<Compare> &conditions,
                                                     const std::vector<Write> &writes)
            = 0;
    virtual core::Result<Lease> grantLease(CallPurpose purpose, std::chrono::seconds lifetime) = 0;
    /** Renews a lease; error NotFound if it has lapsed. */
    virtual core::Result<Lease> keepAliveLease(CallPurpose purpose, std::int64_t id) = 0;
    virtual core::Result<void> revokeLease(CallPurpose purpose, std::int64_t id) = 0;
    /** Starts to watch a key or prefix for changes after a revision. */
    virtual core::Result<std::unique_ptr<Watch>> watch(CallPurpose purpose, const std::string &key,
                                                       bool isPrefix, std::int64_t afterRevision,
                                                       WatchListener &listener)
            = 0;

    /** The calls made so far. */
    virtual const CallCounters &callCounters() const = 0;
};

} // namespace sardinehollow::platform
