#pragma once

namespace sardinehollow::network {

/** Why a request cannot be read completely. */
enum class RequestError {
    /** Not valid HTTP, or framed ambiguously, so that two implementations could differ. */
    Malformed,
    HeaderTooLarge,
    /** The head did not arrive within ConnectionLimits::headerTimeout. */
    HeaderTimeout,
    /** A version of HTTP other than 1.0 and 1.1. */
    UnsupportedVersion,
};

} // namespace sardinehollow::network
