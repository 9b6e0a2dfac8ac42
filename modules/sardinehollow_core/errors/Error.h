#pragma once

#include "sardinehollow_core/errors/ErrorKind.h"

#include <string>

namespace sardinehollow::core {

/** A failure and what the user can do about it. */
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;

    /** Returns "message; remedy" on one line. */
    std::string text() const;
};

} // namespace sardinehollow::core
