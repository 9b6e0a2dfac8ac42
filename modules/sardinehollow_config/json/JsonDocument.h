#pragma once

#include "sardinehollow_config/json/Fault.h"

#include <Poco/JSON/Object.h>

#include <string>

namespace sardinehollow::config {

/**
 * Parses a text as one JSON object. Returns a null pointer and records a fault if it is not one or
 * if it is nested more than 32 levels deep.
 */
Poco::JSON::Object::Ptr parseJsonObject(const std::string &text, FaultList &faults);

} // namespace sardinehollow::config
