#include "common/SettingsFile.h"
#include "common/StopSignal.h"
#include "sardinehollow_standin/control/Standin.h"

#include <Poco/Exception.h>

#include <iostream>

namespace {

using sardinehollow::apps::ExitCode;

constexpr const char *usage
        = R"(sardinehollow-standin: stand-in platform and backend servers for tests.

Usage:
  sardinehollow-standin --config FILE
  sardinehollow-standin (--help | --version)

Options:
  --config FILE  Settings in JSON.
  --help         Show this text.
  --version      Show the version.

Exit codes: 0 done, 2 usage, 3 invalid settings.
)";

ExitCode runUntilSignal(const sardinehollow::standin::StandinSettings &settings)
{
    const sardinehollow::apps::StopSignal stop;
    try {
        const sardinehollow::standin::Standin standin(settings);
        stop.wait();
    } catch (const Poco::Exception &exception) {
        std::cerr << "cannot start: " << exception.displayText()
                  << "; check that the addresses are free\n";
        return ExitCode::Usage;
    }
    return ExitCode::Done;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    int exitCode = 0;
    const auto settings = sardinehollow::apps::loadSettings(
            usage, "sardinehollow-standin", argumentCount, arguments,
            sardinehollow::standin::readStandinSettings, exitCode);
    if (!settings)
        return exitCode;
    return static_cast<int>(runUntilSignal(*settings));
}
