#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::load {

/** How a request ended for its caller, after all tries. */
enum class RequestOutcome {
    /** A whole answer of its own within the deadline. */
    InTime,
    /** A whole answer of its own after the deadline. */
    Late,
    NotRun,
    Unknown,
    /** No daemon answered. */
    NoAnswer,
    /** A whole answer in which the backend server says that it failed. */
    ServerError,
    /** An answer that is not the request's own or not whole, but looked whole. */
    WrongAnswer,
    Count,
};

inline constexpr std::size_t requestOutcomeCount = static_cast<std::size_t>(RequestOutcome::Count);

std::string_view toName(RequestOutcome outcome);

} // namespace sardinehollow::load
