#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/model/Configuration.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinehollow::config {

/** Reads and validates an operator's configuration; reports all faults of the document at once. */
tl::expected<Configuration, FaultList> readConfiguration(const std::string &text);

} // namespace sardinehollow::config
