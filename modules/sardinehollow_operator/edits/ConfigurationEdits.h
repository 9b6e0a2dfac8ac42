#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_core/errors/Result.h"

namespace sardinehollow::op {

/** Adds a drain; returns false if there is one of the target already. */
bool addDrain(config::Configuration &configuration, config::DrainTarget target,
              const std::string &name);

/** Removes a drain; returns false if there is none of the target. */
bool removeDrain(config::Configuration &configuration, config::DrainTarget target,
                 const std::string &name);

/** Adds a shift or replaces the one with the same name. */
void putShift(config::Configuration &configuration, config::Shift shift);

/** Removes a shift; returns false if there is none with the name. */
bool removeShift(config::Configuration &configuration, const std::string &name);

/**
 * Parses "failure-domain=cap", with the cap in requests per second. Error InvalidInput for anything
 * else.
 */
core::Result<config::ShiftDestination> parseDestination(const std::string &text);

} // namespace sardinehollow::op
