#pragma once

#include "common/CommandLine.h"
#include "common/ExitCode.h"
#include "sardinehollow_config/json/Fault.h"
#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_core/errors/Error.h"

#include <Poco/JSON/Object.h>

#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::apps {

/** Prints an error with its remedy to stderr and returns the exit code of its kind. */
ExitCode reportError(const core::Error &error);

/**
 * Reads and validates a configuration file. On failure it prints all faults to stderr, sets the
 * exit code and returns nullopt.
 */
std::optional<config::Configuration> loadConfiguration(const std::string &path, ExitCode &code);

/** Splits a comma-separated list; trims the items and omits empty ones. */
std::vector<std::string> splitList(const std::string &text);

/** Returns the value of an option, or the fallback if it is not given. */
std::string textOption(const Options &options, const std::string &name,
                       const std::string &fallback);

/** Reads a number option; if it is not in [low, high] it prints the remedy and returns nullopt. */
std::optional<double> numberOption(const Options &options, const std::string &name, double low,
                                   double high);

/** Prints one JSON object on one line to stdout. */
void printJson(const Poco::JSON::Object &object);

} // namespace sardinehollow::apps
