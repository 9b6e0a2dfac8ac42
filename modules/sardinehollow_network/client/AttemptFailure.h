#pragma once

namespace sardinehollow::network {

/** Why an attempt ended without a complete response. */
enum class AttemptFailure {
    /** The connection could not be established, so the request cannot have run. */
    NotConnected,
    /** The connection was lost or the response was truncated; the request may have run. */
    Broken,
    /** The server did not send a valid HTTP response; the request may have run. */
    InvalidResponse,
};

} // namespace sardinehollow::network
