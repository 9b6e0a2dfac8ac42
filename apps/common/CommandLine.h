#pragma once

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <string>

namespace sardinehollow::apps {

using Options = std::map<std::string, docopt::value>;

/**
 * Parses the command-line arguments against a docopt usage text. For --help, --version and usage
 * errors it prints the text that applies, sets the exit code and returns nullopt.
 */
std::optional<Options> parseCommandLine(const std::string &usage, const std::string &program,
                                        int argumentCount, char **arguments, int &exitCode);

/** Returns the contents of a file, or of standard input for "-"; nullopt if it cannot be read. */
std::optional<std::string> readFile(const std::string &path);

} // namespace sardinehollow::apps
