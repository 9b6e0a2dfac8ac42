#pragma once

#include "sardinehollow_config/diff/Change.h"
#include "sardinehollow_config/model/Configuration.h"

#include <vector>

namespace sardinehollow::config {

/** Returns all differences, sorted by path. */
std::vector<Change> compareConfigurations(const Configuration &before, const Configuration &after);

} // namespace sardinehollow::config
