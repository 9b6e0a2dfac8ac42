#pragma once

#include <cstddef>
#include <string_view>

namespace sardinehollow::load {

/** Final outcome of a request for its caller, after all tries. */
enum class RequestOutcome {
    /** The expected answer, complete and within the deadline. */
    InTime,
    /** The expected answer, complete but after the deadline. */
    Late,
    /** The system reported that the request was not run. */
    NotRun,
    /** The system reported that it does not know whether the request was run. */
    Unknown,
    /** No daemon returned a complete response. */
    NoAnswer,
    /** A complete answer with which the backend server reports a failure of its own. */
    ServerError,
    /** A response that looked complete, but is truncated or belongs to another request. */
    WrongAnswer,
    Count,
};

inline constexpr std::size_t requestOutcomeCount = static_cast<std::size_t>(RequestOutcome::Count);

std::string_view toName(RequestOutcome outcome);

} // namespace sardinehollow::load
