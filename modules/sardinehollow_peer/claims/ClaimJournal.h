#pragma once

#include "sardinehollow_peer/claims/JournalRequest.h"
#include "sardinehollow_peer/claims/JournalResult.h"

namespace sardinehollow::peer {

/** Write-ahead journal of one scope's claims in the store. Calls block. */
class ClaimJournal
{
public:
    virtual ~ClaimJournal() = default;

    /**
     * Executes one request. If a reply is lost, the implementation reads the record back; it
     * reports Failed only if the effect of the request remains unknown, and the caller may then
     * repeat the request.
     */
    virtual JournalResult call(const JournalRequest &request) = 0;
};

} // namespace sardinehollow::peer
