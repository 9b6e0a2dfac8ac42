#pragma once

#include <string_view>

namespace sardinehollow::entry {

/** How a request ended, as written to the request log. */
enum class RequestEnd {
    /** The complete response of a backend server was sent. */
    Complete,
    /** The recorded response to an earlier request with the same idempotency key was sent. */
    Replayed,
    NotRun,
    Unknown,
    /** The response was truncated after it had started. */
    Cut,
    CallerLeft,
};

std::string_view toName(RequestEnd end);

} // namespace sardinehollow::entry
