#pragma once

#include "sardinehollow_config/model/Shift.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** Returns whether a shift moves requests of a work kind. */
bool movesWorkKind(const config::Shift &shift, const std::string &workKind);

/**
 * Returns whether a caller is among the fraction of callers, 0 to 1, that a shift moves. shiftHash
 * is the hash of the shift's name. A larger fraction includes the callers of a smaller one.
 */
bool isWithinFraction(std::uint64_t shiftHash, std::uint64_t callerHash, double fraction);

} // namespace sardinehollow::policy
