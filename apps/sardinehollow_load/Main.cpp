#include "SpawnedSystem.h"
#include "common/CommandLine.h"
#include "common/ExitCode.h"
#include "sardinehollow_load/report/HtmlReport.h"
#include "sardinehollow_load/results/ResultFile.h"
#include "sardinehollow_load/run/LoadRun.h"

#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>
#include <Poco/Process.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace sardinehollow;
using apps::ExitCode;
using apps::Options;

constexpr const char *usage = R"(sardinehollow-load: load and experiment tool of sardinehollow.

Usage:
  sardinehollow-load run FILE (--addresses FILE | --spawn) [--seed N] [--json FILE] [--commit TEXT]
  sardinehollow-load compare FIRST SECOND
  sardinehollow-load report HTML RESULT...
  sardinehollow-load (--help | --version)

run sends the requests of an experiment file to a running system and checks every answer; compare
prints two results side by side; report writes an HTML page.

Options:
  --addresses FILE  Addresses of a running system, from 'scripts/demo --keep FILE'.
  --spawn           Start a system with 'scripts/demo --keep' and stop it afterwards.
  --seed N          Seed of the arrivals [default: 1].
  --json FILE       Write the result to FILE.
  --commit TEXT     Commit that is noted in the result [default: unknown].
  --help            Show this text.
  --version         Show the version.

Exit codes: 0 done, 1 a count that must be 0 is not, 2 usage, 3 invalid file.
)";

Poco::JSON::Object::Ptr readResult(const std::string &path)
{
    const std::optional<std::string> text = apps::readFile(path);
    if (!text) {
        std::cerr << "cannot read " << path << "; check the path\n";
        return {};
    }
    Poco::JSON::Parser parser;
    return parser.parse(*text).extract<Poco::JSON::Object::Ptr>();
}

bool areAllZero(const load::ViolationCounts &counts)
{
    for (const auto &[name, count] : counts) {
        if (count > 0)
            return false;
    }
    return true;
}

ExitCode runExperiment(const Options &options, const load::Experiment &experiment,
                       const std::string &addressFile)
{
    const std::optional<std::string> text = apps::readFile(addressFile);
    const auto target = text ? load::readTarget(*text)
                             : core::failure(core::ErrorKind::InvalidInput,
                                             "cannot read " + addressFile, "check the path");
    if (!target) {
        std::cerr << target.error().text() << "\n";
        return ExitCode::Invalid;
    }
    load::RunDescription description;
    Poco::UInt64 seed = 1;
    Poco::NumberParser::tryParseUnsigned64(options.at("--seed").asString(), seed);
    description.seed = seed;
    description.commit = options.at("--commit").asString();
    description.command = "sardinehollow-load run " + options.at("FILE").asString() + " --seed "
            + std::to_string(seed);
    load::LoadRun run(experiment, *target, seed);
    run.execute();
    const auto result = load::toResult(experiment, description, run.kinds(), run.violationCounts());
    std::cout << load::resultTable(*result);
    if (options.at("--json").isString()) {
        std::ofstream file(options.at("--json").asString());
        result->stringify(file, 2);
        file << "\n";
    }
    return areAllZero(run.violationCounts()) ? ExitCode::Done : ExitCode::Failed;
}

ExitCode runCommand(const Options &options)
{
    const std::optional<std::string> text = apps::readFile(options.at("FILE").asString());
    const auto experiment = text
            ? load::readExperiment(*text)
            : core::failure(core::ErrorKind::InvalidInput, "cannot read the experiment file",
                            "check the path");
    if (!experiment) {
        std::cerr << experiment.error().text() << "\n";
        return ExitCode::Invalid;
    }
    if (!options.at("--spawn").asBool())
        return runExperiment(options, *experiment, options.at("--addresses").asString());
    const std::string addressFile
            = (std::filesystem::temp_directory_path()
               / ("sardinehollow-load-" + std::to_string(Poco::Process::id())))
                      .string();
    apps::SpawnedSystem system(experiment->deployment, addressFile);
    if (!system.waitUntilReady()) {
        std::cerr << "the system did not start in time; run scripts/demo to see why\n";
        return ExitCode::Failed;
    }
    return runExperiment(options, *experiment, addressFile);
}

ExitCode compareCommand(const Options &options)
{
    const auto first = readResult(options.at("FIRST").asString());
    const auto second = readResult(options.at("SECOND").asString());
    if (first.isNull() || second.isNull())
        return ExitCode::Usage;
    std::cout << load::comparisonTable(*first, *second);
    return ExitCode::Done;
}

ExitCode reportCommand(const Options &options)
{
    std::vector<Poco::JSON::Object::Ptr> results;
    for (const std::string &path : options.at("RESULT").asStringList()) {
        results.push_back(readResult(path));
        if (results.back().isNull())
            return ExitCode::Usage;
    }
    std::ofstream file(options.at("HTML").asString());
    file << load::htmlReport(results);
    return file.good() ? ExitCode::Done : ExitCode::Usage;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    int exitCode = 0;
    const auto options = apps::parseCommandLine(usage, "sardinehollow-load", argumentCount,
                                                arguments, exitCode);
    if (!options)
        return exitCode;
    try {
        if (options->at("run").asBool())
            return static_cast<int>(runCommand(*options));
        if (options->at("compare").asBool())
            return static_cast<int>(compareCommand(*options));
        return static_cast<int>(reportCommand(*options));
    } catch (const Poco::Exception &exception) {
        std::cerr << exception.displayText() << "; check the result files\n";
        return static_cast<int>(ExitCode::Invalid);
    }
}
