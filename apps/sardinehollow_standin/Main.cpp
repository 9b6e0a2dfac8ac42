#include "common/RunUntilSignal.h"
#include "common/SettingsFile.h"
#include "sardinehollow_standin/control/Standin.h"

#include <memory>

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

ExitCode run(const sardinehollow::standin::StandinSettings &settings)
{
    using sardinehollow::standin::Standin;
    return sardinehollow::apps::runUntilSignal<Standin>(
            [&settings] { return std::make_unique<Standin>(settings); }, [](Standin &) {},
            "check that the addresses are free");
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
    return static_cast<int>(run(*settings));
}
