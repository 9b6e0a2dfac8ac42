#include "InForceWait.h"

#include "sardinehollow_platform/http/HttpCall.h"

#include <iostream>
#include <map>
#include <thread>

namespace sardinehollow::apps {

namespace {

constexpr std::chrono::milliseconds statusTimeout {1000};
constexpr std::chrono::milliseconds pollInterval {100};

struct DaemonGeneration
{
    std::string vm;
    std::uint64_t generation = 0;
    bool hasAnswered = false;
};

DaemonGeneration readGeneration(const std::string &address)
{
    DaemonGeneration result;
    const auto status = platform::getJson(address, "/v1/status", statusTimeout);
    if (!status)
        return result;
    result.hasAnswered = true;
    result.vm = (*status)->optValue<std::string>("vm", "");
    result.generation = (*status)->optValue<std::uint64_t>("generation", 0);
    return result;
}

} // namespace

ExitCode waitUntilInForce(const std::vector<std::string> &daemons, std::uint64_t generation,
                          std::chrono::seconds timeout)
{
    const auto start = std::chrono::steady_clock::now();
    std::map<std::string, DaemonGeneration> daemonStates;
    std::size_t inForceCount = 0;
    while (inForceCount < daemons.size() && std::chrono::steady_clock::now() - start < timeout) {
        inForceCount = 0;
        for (const std::string &address : daemons) {
            DaemonGeneration &daemon = daemonStates[address];
            if (!daemon.hasAnswered || daemon.generation < generation)
                daemon = readGeneration(address);
            if (daemon.hasAnswered && daemon.generation >= generation)
                ++inForceCount;
        }
        if (inForceCount < daemons.size())
            std::this_thread::sleep_for(pollInterval);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    for (const auto &[address, daemon] : daemonStates) {
        std::cout << address << " " << daemon.vm << ": ";
        if (daemon.hasAnswered)
            std::cout << "generation " << daemon.generation << "\n";
        else
            std::cout << "no answer\n";
    }
    std::cout << "in force on " << inForceCount << " of " << daemons.size() << " daemons after "
              << elapsed.count() << " s\n";
    if (inForceCount == daemons.size())
        return ExitCode::Done;
    std::cerr << "some daemons did not report generation " << generation
              << " in time; check them with 'sardinehollowctl status'\n";
    return ExitCode::ResultUnknown;
}

} // namespace sardinehollow::apps
