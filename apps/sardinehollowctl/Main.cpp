#include "Commands.h"
#include "common/CommandLine.h"
#include "common/ExitCode.h"

#include <iostream>
#include <map>

namespace {

using sardinehollow::apps::ExitCode;
using sardinehollow::apps::Options;

constexpr const char *usage = R"(sardinehollowctl: operators' command line of sardinehollow.

Usage:
  sardinehollowctl validate FILE
  sardinehollowctl submit FILE --store LIST [--author NAME] [--message TEXT] [--base GENERATION]
                   [--submission-id ID] [--wait --daemons LIST [--timeout SECONDS]] [--json]
  sardinehollowctl diff FILE --store LIST
  sardinehollowctl show --store LIST --deployment NAME
  sardinehollowctl history --store LIST --deployment NAME [--json]
  sardinehollowctl drain TARGET NAME --store LIST --deployment NAME [--undo] [--author NAME]
                   [--message TEXT]
  sardinehollowctl shift NAME --store LIST --deployment NAME --undo [--author NAME]
                   [--message TEXT]
  sardinehollowctl shift NAME --store LIST --deployment NAME --from REGION --to LIST
                   --fraction SHARE [--kinds LIST] [--step SHARE] [--interval SECONDS]
                   [--author NAME] [--message TEXT]
  sardinehollowctl status --daemons LIST [--json]
  sardinehollowctl lookup --entry ADDRESS --kind KIND [--caller IP]
  sardinehollowctl platform status --store ADDRESS [--daemons LIST] [--json]
  sardinehollowctl platform explain --store ADDRESS --region REGION --failure-domain NAME
                   --host HOST --path PATH
  sardinehollowctl version
  sardinehollowctl (--help | --version)

FILE is a configuration in JSON, or - for standard input. TARGET is vm, backend-server,
failure-domain or region. The platform commands read the users' platform's store; their --daemons
are metrics addresses.

Options:
  --store LIST         Addresses of the platform's store, "IP:port", separated by commas.
  --daemons LIST       Operator addresses of daemons, separated by commas.
  --deployment NAME    Deployment whose configuration is meant.
  --author NAME        Who submits; shown to others in conflicts and in the history.
  --message TEXT       What the change is for.
  --base GENERATION    Generation that the change is based on.
  --submission-id ID   Repeats an earlier submission whose result is unknown.
  --wait               Wait until the named daemons have the generation in force.
  --timeout SECONDS    Limit of the wait [default: 11].
  --undo               End the drain or shift.
  --from REGION        Region whose callers move.
  --to LIST            Destinations with their caps, FAILURE-DOMAIN=REQUESTS-PER-SECOND,...
  --fraction SHARE     Share of the callers that move in the end, from 0 to 1.
  --kinds LIST         Work kinds that move; without it all.
  --step SHARE         Share of the callers that each step adds [default: 1].
  --interval SECONDS   Time between steps [default: 0].
  --entry ADDRESS      Caller address of any daemon.
  --kind KIND          Name of a work kind.
  --caller IP          Address of the caller; without it the address of this machine.
  --region REGION      Region of the callers.
  --failure-domain NAME  Failure domain of the callers.
  --host HOST          Host of a request.
  --path PATH          Path of a request.
  --json               Print JSON, one object on a line.
  --help               Show this text.
  --version            Show the version.

Exit codes: 0 done, 1 failed, 2 usage, 3 invalid, 4 conflict, 5 platform unreachable,
6 result unknown.
)";

using Command = ExitCode (*)(const Options &);

const std::map<std::string, Command> commands {
        {"validate", sardinehollow::apps::validateCommand},
        {"submit", sardinehollow::apps::submitCommand},
        {"diff", sardinehollow::apps::diffCommand},
        {"show", sardinehollow::apps::showCommand},
        {"history", sardinehollow::apps::historyCommand},
        {"drain", sardinehollow::apps::drainCommand},
        {"shift", sardinehollow::apps::shiftCommand},
        {"status", sardinehollow::apps::statusCommand},
        {"lookup", sardinehollow::apps::lookupCommand},
        {"platform", sardinehollow::apps::platformCommand},
};

} // namespace

int main(int argumentCount, char **arguments)
{
    int exitCode = 0;
    const auto options = sardinehollow::apps::parseCommandLine(usage, "sardinehollowctl",
                                                               argumentCount, arguments, exitCode);
    if (!options)
        return exitCode;
    // Checked first: `platform status` also sets the option of the command `status`.
    if (options->at("platform").asBool())
        return static_cast<int>(commands.at("platform")(*options));
    for (const auto &[name, command] : commands) {
        if (options->at(name).asBool())
            return static_cast<int>(command(*options));
    }
    std::cout << "sardinehollowctl " << SARDINEHOLLOW_VERSION << "\n";
    return 0;
}
