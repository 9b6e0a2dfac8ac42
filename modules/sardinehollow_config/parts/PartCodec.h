#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_config/parts/ConfigurationPart.h"

#include <tl/expected.hpp>

#include <vector>

namespace sardinehollow::config {

/**
 * Splits a configuration into parts below 1 MB. The first part holds everything but the client
 * blocks; each other part holds consecutive blocks. Part boundaries depend only on nearby blocks,
 * so a change of a few blocks changes few parts.
 */
std::vector<ConfigurationPart> splitIntoParts(const Configuration &configuration);

/** Returns the digest of the manifest of all parts; equal configurations have equal digests. */
std::string digestOf(const Configuration &configuration);

/** Joins the texts of all parts, in order, and validates the result; the inverse of splitting. */
tl::expected<Configuration, FaultList> joinParts(const std::vector<std::string> &texts);

} // namespace sardinehollow::config
