#include "common/SettingsFile.h"
#include "platform/KvStore.h"
#include "platform/PlatformProtocol.h"
#include "platform/PlatformSchema.h"
#include "sardinehollow_gateway/application/GatewayApplication.h"
#include "sardinehollow_gateway/application/GatewaySettingsReader.h"
#include "sardinehollow_logging/NonBlockingSink.h"

#include <Poco/Exception.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <unistd.h>

namespace {

using sardinehollow::apps::ExitCode;
using sardinehollow::gateway::GatewayApplication;

constexpr const char *usage
        = R"(sardinehollowd-platform: the daemon of one entry VM on the users' platform.

Usage:
  sardinehollowd-platform --config FILE
  sardinehollowd-platform (--help | --version)

Options:
  --config FILE  Settings of this daemon in JSON; see deploy/settings.json.template.
  --help         Show this text.
  --version      Show the version.

SIGTERM and SIGINT make the daemon leave without cutting a request.
Exit codes: 0 done, 2 usage, 3 invalid settings.
)";

// Part of the time within which changes have to be known that may pass between two reports of the
// store; the rest is for its answer, a repeated call and requests on their way.
constexpr double watchPauseShare = 0.5;

// Signal handlers take no argument; one daemon runs in a process.
GatewayApplication *runningApplication = nullptr;

void handleSignal(int signal)
{
    if (!runningApplication)
        return;
    if (signal == SIGHUP)
        runningApplication->requestReload();
    else
        runningApplication->requestStop();
}

ExitCode serve(const sardinehollow::gateway::GatewaySettings &settings)
{
    const sardinehollow::adapter::PlatformProtocol protocol;
    const sardinehollow::adapter::PlatformSchema schema;
    sardinehollow::adapter::KvStore store(settings.storeAddress,
                                          std::chrono::duration_cast<sardinehollow::core::Duration>(
                                                  settings.maxStoreDelay * watchPauseShare));
    const auto sink = std::make_shared<sardinehollow::logging::NonBlockingSink>(STDOUT_FILENO);
    try {
        GatewayApplication application(settings, protocol, schema, store, sink);
        runningApplication = &application;
        application.run();
        runningApplication = nullptr;
    } catch (const Poco::Exception &exception) {
        std::cerr << "cannot start: " << exception.displayText()
                  << "; check that the addresses of the settings are free and local\n";
        return ExitCode::Usage;
    }
    return ExitCode::Done;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        std::signal(signal, handleSignal);
    int exitCode = 0;
    const auto settings = sardinehollow::apps::loadSettings(
            usage, "sardinehollowd-platform", argumentCount, arguments,
            sardinehollow::gateway::readGatewaySettings, exitCode);
    if (!settings)
        return exitCode;
    return static_cast<int>(serve(*settings));
}
