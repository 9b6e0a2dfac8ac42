#pragma once

#include "sardinehollow_config/model/Configuration.h"

#include <string>

namespace sardinehollow::config {

/**
 * Returns the configuration as JSON with a fixed order of fields, two spaces of indentation and a
 * trailing newline, so that equal configurations give equal text. Omits the generation.
 */
std::string toCanonicalJson(const Configuration &configuration);

} // namespace sardinehollow::config
