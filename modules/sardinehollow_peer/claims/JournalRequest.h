#pragma once

#include "sardinehollow_peer/generated/claim_journal.pb.h"

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/** A request that the claim service makes to the journal. */
struct JournalRequest
{
    enum class Kind {
        ReadEpochs,
        TakeEpoch,
        LoadEpoch,
        Append,
        DropEpoch,
        Renew,
        Resign,
    };

    Kind kind = Kind::ReadEpochs;
    /** Record to write (TakeEpoch). */
    wire::ClaimEpochs epochs;
    /** The request succeeds only if the epoch record has this revision (TakeEpoch, Append). */
    std::int64_t epochRevision = 0;
    /** The request succeeds only if the holder record has this revision (TakeEpoch). */
    std::int64_t holderRevision = 0;
    /** Epoch to load, append to or drop. */
    std::uint64_t epoch = 0;
    /** Position of the batch in its epoch (Append). */
    std::uint64_t sequence = 0;
    /** Serialised ClaimBatch (Append). */
    std::string batch;
    /** Lease to renew (Renew) or to revoke (Resign). */
    std::int64_t lease = 0;
};

} // namespace sardinehollow::peer
