#pragma once

#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_gateway/application/GatewaySettings.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinehollow::gateway {

/** Reads a settings file in JSON; all faults are reported at once. */
tl::expected<GatewaySettings, config::FaultList> readGatewaySettings(const std::string &text);

} // namespace sardinehollow::gateway
