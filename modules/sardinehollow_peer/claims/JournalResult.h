#pragma once

#include "sardinehollow_peer/generated/claim_journal.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::peer {

/** The result of a JournalRequest. */
struct JournalResult
{
    enum class Status {
        Done,
        /** A precondition failed: another daemon took the scope, or the lease has expired. */
        Conflict,
        /** The store did not answer, or the effect of the request is unknown. */
        Failed,
    };

    Status status = Status::Failed;
    /** Epoch record, empty if there is none (ReadEpochs). */
    wire::ClaimEpochs epochs;
    /** Revision of the epoch record (ReadEpochs, TakeEpoch). */
    std::int64_t epochRevision = 0;
    /**
     * Holder whose lease is valid, empty if there is none, and the revision of its record
     * (ReadEpochs).
     */
    std::string holder;
    std::int64_t holderRevision = 0;
    /** Lease of the holder record (TakeEpoch). */
    std::int64_t lease = 0;
    /** Batches of the epoch in order (LoadEpoch). */
    std::vector<std::string> batches;
};

} // namespace sardinehollow::peer
