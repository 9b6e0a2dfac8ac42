#include "BenchDeployment.h"
#include "Report.h"
#include "Scenario.h"
#include "Simulation.h"
#include "common/CommandLine.h"
#include "common/ExitCode.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

namespace {

using namespace sardinehollow;

constexpr const char *usage = R"(Drives the policy module and baseline policies in virtual time.

Usage:
  sardinehollow-policy-bench [--deployment NAME] [--scenario NAME] [--policy NAME] [--seed N]
                             [--jobs N] [--json FILE]
  sardinehollow-policy-bench (--help | --version)

Options:
  --deployment NAME  lakeshore, hanbit or all [default: all]
  --scenario NAME    one scenario or all [default: all]
  --policy NAME      random, static-split, least-load, sardinehollow or all [default: all]
  --seed N           seed of the workload [default: 1]
  --jobs N           runs at the same time; the output does not depend on it [default: 2]
  --json FILE        also write the figures to a file
)";

struct Job
{
    const bench::BenchDeployment *deployment = nullptr;
    const bench::Scenario *scenario = nullptr;
    std::string policy;
};

bool isSelected(const std::string &selection, const std::string &name)
{
    return selection == "all" || selection == name;
}

std::vector<bench::BenchResult> runAll(const std::vector<Job> &jobs, std::uint64_t seed,
                                       long threadCount)
{
    std::vector<bench::BenchResult> results(jobs.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < jobs.size(); index = next++) {
            const Job &job = jobs[index];
            bench::Simulation simulation(*job.deployment, *job.scenario, job.policy, seed);
            results[index] = simulation.run();
        }
    };
    std::vector<std::thread> threads;
    for (long index = 0; index < threadCount; ++index)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    int exitCode = 0;
    auto options = apps::parseCommandLine(usage, "sardinehollow-policy-bench", argumentCount,
                                          arguments, exitCode);
    if (!options)
        return exitCode;
    const std::vector<bench::BenchDeployment> deployments {bench::makeLakeshore(),
                                                           bench::makeHanbit()};
    const std::vector<bench::Scenario> scenarios = bench::makeScenarios();
    std::vector<Job> jobs;
    for (const bench::BenchDeployment &deployment : deployments) {
        for (const bench::Scenario &scenario : scenarios) {
            for (const std::string &policy : bench::policyNames()) {
                const bool selected
                        = isSelected((*options)["--deployment"].asString(), deployment.name)
                        && isSelected((*options)["--scenario"].asString(), scenario.name)
                        && isSelected((*options)["--policy"].asString(), policy);
                if (selected)
                    jobs.push_back({&deployment, &scenario, policy});
            }
        }
    }
    if (jobs.empty()) {
        std::cerr << "no run matches the options; see --help for the names\n";
        return static_cast<int>(apps::ExitCode::Usage);
    }
    const auto seed = static_cast<std::uint64_t>((*options)["--seed"].asLong());
    const auto results = runAll(jobs, seed, std::max(1L, (*options)["--jobs"].asLong()));
    bench::printTables(results, std::cout);
    if ((*options)["--json"]) {
        std::ofstream file((*options)["--json"].asString());
        bench::writeJson(results, seed, file);
        if (!file) {
            std::cerr << "cannot write the JSON file; check its path\n";
            return static_cast<int>(apps::ExitCode::Invalid);
        }
    }
    return 0;
}
