#pragma once

#include "common/ExitCode.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinehollow::apps {

/**
 * Polls the daemons until each reports the generation, or a later one, in force. Prints the last
 * reported generation of each daemon. Returns Done, or ResultUnknown after a time-out.
 */
ExitCode waitUntilInForce(const std::vector<std::string> &daemons, std::uint64_t generation,
                          std::chrono::seconds timeout);

} // namespace sardinehollow::apps
