#pragma once

namespace sardinehollow::network {

/** Why a request cannot be read to its end. */
enum class RequestFault {
    /** Not HTTP, or framed in a way that two programs could read differently. */
    Malformed,
    HeaderTooLarge,
    /** The head did not arrive in time. */
    HeaderTimeout,
    /** A version of HTTP other than 1.0 and 1.1. */
    UnsupportedVersion,
};

} // namespace sardinehollow::network
