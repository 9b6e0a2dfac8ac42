#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_gateway/application/GatewaySettings.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinehollow::gateway {

/** Parses settings in JSON; returns all faults, not only the first. */
tl::expected<GatewaySettings, config::FaultList> readGatewaySettings(const std::string &text);

} // namespace sardinehollow::gateway
