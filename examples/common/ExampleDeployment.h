#pragma once

#include "common/ExampleWork.h"
#include "sardinehollow_operator/builder/ConfigurationBuilder.h"

#include <vector>

namespace sardinehollow::examples {

/**
 * Adds regions of two failure domains each, a link between every two regions, and for each region a
 * site with the client block 10.N.0.0/16, where N is the region's position from 1. All other IPv4
 * callers are steered to the first region, and IPv6 callers to the last.
 */
void addRegions(op::ConfigurationBuilder &builder, const std::vector<std::string> &regions,
                std::uint64_t linkBytesPerSecond, std::chrono::microseconds oneWayLatency);

/**
 * Adds a pool and a work kind of the same name with the path prefix "/name". Backend servers are
 * distributed over the failure domains of the regions. POST requests are not idempotent.
 */
void addWork(op::ConfigurationBuilder &builder, const std::vector<std::string> &regions,
             const ExampleWork &work);

/** Prints the configuration to stdout, or its faults to stderr; returns the exit code. */
int printConfiguration(const op::ConfigurationBuilder &builder);

} // namespace sardinehollow::examples
