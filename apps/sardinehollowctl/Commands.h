#pragma once

#include "common/CommandLine.h"
#include "common/ExitCode.h"

namespace sardinehollow::apps {

ExitCode validateCommand(const Options &options);
ExitCode submitCommand(const Options &options);
ExitCode showCommand(const Options &options);
ExitCode diffCommand(const Options &options);
ExitCode historyCommand(const Options &options);
ExitCode drainCommand(const Options &options);
ExitCode shiftCommand(const Options &options);
ExitCode statusCommand(const Options &options);
ExitCode lookupCommand(const Options &options);
/** Runs `platform status` and `platform explain` against the store of the users' platform. */
ExitCode platformCommand(const Options &options);

} // namespace sardinehollow::apps
