#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/model/Configuration.h"

namespace sardinehollow::config {

/**
 * Checks what concerns more than one field, such as unique names, references between sections and
 * the sum of the floor shares, and the syntax of addresses and paths. Records every fault.
 */
void validateConfiguration(const Configuration &configuration, FaultList &faults);

} // namespace sardinehollow::config
