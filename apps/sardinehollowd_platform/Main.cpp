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

On SIGTERM or SIGINT the daemon drains and exits without aborting requests in flight.
Exit codes: 0 done, 2 usage, 3 invalid settings.
)";

// Pause between two reports of a store watch, as a fraction of the time within which changes must
// be known. The rest covers the store's response time, one repeated call and requests in transit.
constexpr double watchPauseFraction = 0.5;

// Global, because a signal handler takes no context argument.
constinit sardinehollow::gateway::ProcessRequests processRequests;

void handleSignal(int signal)
{
    if (signal == SIGHUP)
        processRequests.requestReload();
    else
        processRequests.requestStop();
}

ExitCode serve(const sardinehollow::gateway::GatewaySettings &settings)
{
    const sardinehollow::adapter::PlatformProtocol protocol;
    const sardinehollow::adapter::PlatformSchema schema;
    sardinehollow::adapter::KvStore store(settings.storeAddress,
                                          std::chrono::duration_cast<sardinehollow::core::Duration>(
                                                  settings.maxStoreDelay * watchPauseFraction));
    const auto sink = std::make_shared<sardinehollow::logging::NonBlockingSink>(STDOUT_FILENO);
    try {
        GatewayApplication application(settings, protocol, schema, store, processRequests, sink);
        application.run();
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
