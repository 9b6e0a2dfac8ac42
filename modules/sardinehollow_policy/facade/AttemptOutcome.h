#pragma once

#include <string_view>

namespace sardinehollow::policy {

/** Outcome of an attempt to run a request at a backend server or to forward it to a peer. */
enum class AttemptOutcome {
    /** A complete response arrived. */
    Completed,
    /** The server or peer reported that the request did not run. */
    NotRun,
    /** No connection was established, so no byte was sent. */
    ConnectFailed,
    /** The connection failed after bytes were sent; the request may have run. */
    ConnectionLost,
    TimedOut,
    /** The response ended before it was complete. */
    Truncated,
    /**
     * The caller disconnected, stalled or did not send its whole request. The attempt was cancelled
     * or its response could not be delivered.
     */
    CallerLeft,
};

std::string_view toName(AttemptOutcome outcome);

} // namespace sardinehollow::policy
