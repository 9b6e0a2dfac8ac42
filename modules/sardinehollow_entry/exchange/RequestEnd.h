#pragma once

#include <string_view>

namespace sardinehollow::entry {

/** How a request ended, for the log. */
enum class RequestEnd {
    /** A whole response of a backend server was sent. */
    Complete,
    /** The recorded response to an earlier request of the same key was sent. */
    Replayed,
    NotRun,
    Unknown,
    /** The response broke off after its start. */
    Cut,
    CallerLeft,
};

std::string_view toName(RequestEnd end);

} // namespace sardinehollow::entry
