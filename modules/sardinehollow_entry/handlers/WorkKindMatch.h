#pragma once

#include "sardinehollow_config/model/Configuration.h"

#include <string>

namespace sardinehollow::entry {

/** Returns the work kind of the method with the longest matching path prefix, or nullptr. */
const config::WorkKind *matchWorkKind(const config::Configuration &configuration,
                                      const std::string &method, const std::string &path);

} // namespace sardinehollow::entry
