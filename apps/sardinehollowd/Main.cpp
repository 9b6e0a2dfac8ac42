#include "common/SettingsFile.h"
#include "common/StopSignal.h"
#include "sardinehollow_daemon/application/DaemonApplication.h"
#include "sardinehollow_logging/NonBlockingSink.h"

#include <Poco/Exception.h>

#include <csignal>
#include <iostream>
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

SIGTERM and SIGINT make the daemon leave without cutting a request.
Exit codes: 0 done, 2 usage, 3 invalid settings.
)";

ExitCode runUntilSignal(const sardinehollow::config::DaemonSettings &settings)
{
    const sardinehollow::apps::StopSignal stop;
    std::signal(SIGPIPE, SIG_IGN);
    try {
        sardinehollow::daemon::DaemonApplication application(
                settings, std::make_shared<sardinehollow::logging::NonBlockingSink>(STDOUT_FILENO));
        stop.wait();
        application.drain();
    } catch (const Poco::Exception &exception) {
        std::cerr << "cannot start: " << exception.displayText()
                  << "; check that the addresses of the settings are free and local\n";
        return ExitCode::Usage;
    } catch (const std::exception &exception) {
        std::cerr << "cannot start: " << exception.what()
                  << "; check that the peer address of the settings is free and local\n";
        return ExitCode::Usage;
    }
    return ExitCode::Done;
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
    return static_cast<int>(runUntilSignal(*settings));
}
