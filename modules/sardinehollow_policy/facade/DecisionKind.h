#pragma once

#include <string_view>

namespace sardinehollow::policy {

/** Next step for a request. */
enum class DecisionKind {
    /** Send it to a backend server, on which a slot is now reserved for it. */
    Dispatch,
    /** Send it to a peer that owns slots of the pool. */
    Forward,
    /** Keep it queued until a later decision. */
    Hold,
    /** Refuse it. It has not run, unless Decision::mayHaveRun is set. */
    Refuse,
    /** The request is finished; no further decision follows. */
    Finish,
};

std::string_view toName(DecisionKind kind);

} // namespace sardinehollow::policy
