#pragma once

namespace sardinehollow::network {

/** Why an attempt ended without a whole response. */
enum class AttemptFailure {
    /** No connection was made, so that the request cannot have run. */
    NotConnected,
    /** The connection ended or the response was cut; the request may have run. */
    Broken,
    /** The server sent what is no response to the request; it may have run. */
    InvalidResponse,
};

} // namespace sardinehollow::network
