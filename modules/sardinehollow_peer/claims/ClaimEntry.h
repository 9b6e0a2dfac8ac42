#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::peer {

/** State of the claim on one key, as the owner of the scope holds it. */
struct ClaimEntry
{
    enum class State {
        /** Requested; not yet committed to the journal and not granted. */
        Pending,
        /** Granted; the request may run. */
        Begun,
        Finished,
    };

    State state = State::Pending;
    /** Text form of the ClaimId that holds the key. */
    std::string claim;
    std::string contentDigest;
    /** Epoch of the key's scope. */
    std::uint64_t epoch = 0;
    /** Deadline of the claimed request; 0 if a former owner granted the claim. */
    core::Instant deadline {0};
    /** Recorded response (Finished); status 0 if the response was too large to keep. */
    int status = 0;
    /** Whether the recorded response is committed to the journal. */
    bool recorded = false;
    std::string body;
};

} // namespace sardinehollow::peer
