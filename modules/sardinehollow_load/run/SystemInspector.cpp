#include "sardinehollow_load/run/SystemInspector.h"

#include "sardinehollow_platform/http/HttpCall.h"

namespace sardinehollow::load {

namespace {

constexpr std::chrono::milliseconds statusTimeout {300};
constexpr std::chrono::milliseconds reportTimeout {5000};

} // namespace

SystemInspector::SystemInspector(const Target &target)
    : m_target(target)
{ }

void SystemInspector::observeGenerations()
{
    for (const TargetDaemon &daemon : m_target.daemons) {
        const auto status = platform::getJson(daemon.operatorAddress, "/v1/status", statusTimeout);
        if (!status)
            continue;
        const DaemonState current {(*status)->optValue<std::uint64_t>("incarnation", 0),
                                   (*status)->optValue<std::uint64_t>("generation", 0)};
        DaemonState &previous = m_daemonStates[daemon.vm];
        // A restarted daemon reports generation 0 until it is ready.
        const bool isStarting
                = current.incarnation != previous.incarnation && current.generation == 0;
        if (!isStarting && current.generation < previous.generation)
            ++m_generationReversals;
        previous.generation = std::max(previous.generation, current.generation);
        previous.incarnation = current.incarnation;
    }
}

ViolationCounts SystemInspector::inspect(const std::set<std::string> &notRunKeys) const
{
    ViolationCounts counts;
    counts["generationReversals"] = m_generationReversals;
    countRunViolations(notRunKeys, counts);
    countBackendViolations(counts);
    return counts;
}

void SystemInspector::countRunViolations(const std::set<std::string> &notRunKeys,
                                         ViolationCounts &counts) const
{
    std::uint64_t &doubledRuns = counts["doubledRuns"];
    std::uint64_t &falseNotRun = counts["falseNotRun"];
    const auto runs = platform::getJson(m_target.controlAddress, "/runs", reportTimeout);
    if (!runs) {
        counts["runsNotReported"] = 1;
        return;
    }
    for (const std::string &key : (*runs)->getNames()) {
        if ((*runs)->getValue<std::uint64_t>(key) > 1)
            ++doubledRuns;
        if (notRunKeys.count(key) != 0)
            ++falseNotRun;
    }
}

void SystemInspector::countBackendViolations(ViolationCounts &counts) const
{
    std::uint64_t &slotsExceeded = counts["slotsExceeded"];
    std::uint64_t &workAfterLeaving = counts["workAfterLeaving"];
    const auto servers
            = platform::getJson(m_target.controlAddress, "/backend-servers", reportTimeout);
    if (!servers) {
        counts["backendServersNotReported"] = 1;
        return;
    }
    for (const std::string &name : (*servers)->getNames()) {
        const Poco::JSON::Object::Ptr server = (*servers)->getObject(name);
        slotsExceeded += server->getValue<std::uint64_t>("shedOverSlots");
        workAfterLeaving += server->getValue<std::uint64_t>("requestsAfterLeaving");
    }
}

} // namespace sardinehollow::load
