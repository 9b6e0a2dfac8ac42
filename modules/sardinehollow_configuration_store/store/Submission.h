#pragma once

#include "sardinehollow_config/model/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinehollow::configuration_store {

/** A configuration that an operator submits. */
struct Submission
{
    config::Configuration configuration;
    /** Whether the client blocks of the base are kept; the configuration then has none. */
    bool keepsClientBlocks = false;
    /** Identifies the submission; while it is the newest one, it is not accepted a second time. */
    std::string submissionId;
    std::string author;
    std::string message;
    /** Generation that the operator's change is based on; the newest one if absent. */
    std::optional<std::uint64_t> baseGeneration;
};

} // namespace sardinehollow::configuration_store
