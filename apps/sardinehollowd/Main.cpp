#include "common/RunUntilSignal.h"
#include "common/SettingsFile.h"
#include "sardinehollow_daemon/application/DaemonApplication.h"
#include "sardinehollow_logging/NonBlockingSink.h"

#include <csignal>
#include <memory>
#include <unistd.h>

namespace {

using sardinehollow::apps::ExitCode;

constexpr const char *usage = R"(sardinehollowd: the traffic steering daemon of one entry VM.

Usage:
  sardinehollowd --config FILE
  sardinehollowd (--help | --version)

Options:
  --config FILE  Settings of this daemon in JSON.
  --help         Show this text.
  --version      Show the version.

On SIGTERM or SIGINT the daemon drains and exits without aborting requests in flight.
Exit codes: 0 done, 2 usage, 3 invalid settings.
)";

ExitCode run(const sardinehollow::config::DaemonSettings &settings)
{
    using sardinehollow::daemon::DaemonApplication;
    std::signal(SIGPIPE, SIG_IGN);
    return sardinehollow::apps::runUntilSignal<DaemonApplication>(
            [&settings] {
                return std::make_unique<DaemonApplication>(
                        settings,
                        std::make_shared<sardinehollow::logging::NonBlockingSink>(STDOUT_FILENO));
            },
            [](DaemonApplication &application) { application.drain(); },
            "check that the addresses of the settings are free and local");
}

} // namespace

int main(int argumentCount, char **arguments)
{
    int exitCode = 0;
    const auto settings = sardinehollow::apps::loadSettings(
            usage, "sardinehollowd", argumentCount, arguments,
            sardinehollow::config::readDaemonSettings, exitCode);
    if (!settings)
        return exitCode;
    return static_cast<int>(run(*settings));
}
