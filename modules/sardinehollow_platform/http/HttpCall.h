#pragma once

#include "sardinehollow_core/errors/Result.h"

#include <Poco/JSON/Object.h>

#include <chrono>
#include <string>

namespace sardinehollow::platform {

/**
 * Makes one POST of a JSON object on a connection of its own and returns the JSON object of the
 * response. Errors as for KeyValueStore.
 */
core::Result<Poco::JSON::Object::Ptr> postJson(const std::string &address, const std::string &path,
                                               const Poco::JSON::Object &body,
                                               std::chrono::milliseconds timeout);

/** Makes one GET of a JSON object on a connection of its own. Errors as for KeyValueStore. */
core::Result<Poco::JSON::Object::Ptr> getJson(const std::string &address, const std::string &path,
                                              std::chrono::milliseconds timeout);

} // namespace sardinehollow::platform
