#pragma once

#include "sardinehollow_policy/facade/PoolStatus.h"

#include <Poco/JSON/Array.h>

#include <vector>

namespace sardinehollow::daemon {

/** Returns the states of pools, their ranks and owned backend servers for /v1/status. */
Poco::JSON::Array::Ptr toJson(const std::vector<policy::PoolStatus> &pools);

} // namespace sardinehollow::daemon
