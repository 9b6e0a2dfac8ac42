#pragma once

#include <string_view>

namespace sardinehollow::policy {

/** How an attempt at a backend server or a peer ended. */
enum class AttemptOutcome {
    /** A whole response arrived. */
    Completed,
    /** The server or peer stated that the request did not run. */
    NotRun,
    /** No connection was made, so no byte was sent. */
    ConnectFailed,
    /** The connection failed after bytes were sent; the request may have run. */
    ConnectionLost,
    TimedOut,
    /** The response ended early. */
    Truncated,
    /** The caller left; the run was cancelled. */
    CallerLeft,
};

std::string_view toName(AttemptOutcome outcome);

} // namespace sardinehollow::policy
