#pragma once

#include <string_view>

namespace sardinehollow::core {

/** Kinds of failure that a function reports to its caller. */
enum class ErrorKind {
    InvalidInput,
    Conflict,
    NotFound,
    Unreachable,
    /** It is unknown whether the operation took effect, for example after a lost reply. */
    ResultUnknown,
    Unavailable,
    Internal,
};

std::string_view toName(ErrorKind kind);

} // namespace sardinehollow::core
