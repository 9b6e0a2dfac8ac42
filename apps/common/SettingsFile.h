#pragma once

#include "common/CommandLine.h"
#include "common/ExitCode.h"
#include "sardinehollow_config/json/Fault.h"

#include <tl/expected.hpp>

#include <iostream>
#include <optional>
#include <string>

namespace sardinehollow::apps {

/**
 * Reads the settings file given by --config. Errors in the arguments, the file or the settings are
 * reported on stderr. After an error, --help or --version it sets the exit code and returns
 * nullopt.
 */
template <typename Settings>
std::optional<Settings>
loadSettings(const std::string &usage, const std::string &program, int argumentCount,
             char **arguments,
             tl::expected<Settings, config::FaultList> (*parse)(const std::string &), int &exitCode)
{
    const std::optional<Options> options
            = parseCommandLine(usage, program, argumentCount, arguments, exitCode);
    if (!options)
        return std::nullopt;
    const std::optional<std::string> text = readFile(options->at("--config").asString());
    if (!text) {
        std::cerr << "cannot read the settings file; check its path\n";
        exitCode = static_cast<int>(ExitCode::Usage);
        return std::nullopt;
    }
    auto settings = parse(*text);
    if (!settings) {
        std::cerr << config::toText(settings.error());
        exitCode = static_cast<int>(ExitCode::Invalid);
        return std::nullopt;
    }
    return std::move(*settings);
}

} // namespace sardinehollow::apps
