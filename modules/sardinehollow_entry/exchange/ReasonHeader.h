#pragma once

#include "sardinehollow_policy/reasons/RefusalReason.h"

#include <string>

namespace sardinehollow::entry {

/** Parses the reason field of a peer's response; returns the fallback for unknown names. */
policy::RefusalReason reasonFromHeader(const std::string &name, policy::RefusalReason fallback);

} // namespace sardinehollow::entry
