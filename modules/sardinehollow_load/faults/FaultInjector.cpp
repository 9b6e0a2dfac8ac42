#include "sardinehollow_load/faults/FaultInjector.h"

#include "sardinehollow_configuration_store/edit/ConfigurationEditor.h"
#include "sardinehollow_load/client/HttpClient.h"
#include "sardinehollow_operator/edits/ConfigurationEdits.h"
#include "sardinehollow_platform/etcd/EtcdStore.h"

#include <cerrno>
#include <csignal>
#include <cstring>
#include <map>

namespace sardinehollow::load {

namespace {

constexpr std::chrono::milliseconds requestTimeout {5000};

core::Result<bool> applyShift(const ScheduledFault &fault, config::Configuration &configuration)
{
    const std::string name = "experiment";
    if (fault.undo)
        return op::removeShift(configuration, name);
    config::Shift shift;
    shift.name = name;
    shift.fromRegion = fault.fromRegion;
    shift.fraction = fault.fraction;
    for (const std::string &text : fault.destinations) {
        const auto destination = op::parseDestination(text);
        if (!destination)
            return tl::unexpected<core::Error>(destination.error());
        shift.destinations.push_back(*destination);
    }
    op::putShift(configuration, std::move(shift));
    return true;
}

core::Result<bool> applyDrain(const ScheduledFault &fault, config::Configuration &configuration)
{
    const auto target = config::drainTargetFromName(fault.drainTarget);
    if (!target) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "unknown drain target '" + fault.drainTarget + "'",
                             "use vm, backend-server, failure-domain or region");
    }
    return fault.undo ? op::removeDrain(configuration, *target, fault.target)
                      : op::addDrain(configuration, *target, fault.target);
}

} // namespace

FaultInjector::FaultInjector(const Experiment &experiment, const Target &target)
    : m_experiment(experiment)
    , m_target(target)
{ }

core::Result<void> FaultInjector::apply(const ScheduledFault &fault)
{
    switch (fault.action) {
    case FaultAction::Signal:
        return sendSignal(fault);
    case FaultAction::Standin:
        return setFaultSwitches(fault);
    case FaultAction::Drain:
    case FaultAction::Shift:
        return editConfiguration(fault);
    }
    return {};
}

core::Result<void> FaultInjector::sendSignal(const ScheduledFault &fault)
{
    static const std::map<std::string, int> signals {
            {"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
    const auto found = signals.find(fault.signal);
    if (found == signals.end()) {
        return core::failure(core::ErrorKind::InvalidInput, "unknown signal '" + fault.signal + "'",
                             "use TERM, KILL, STOP or CONT");
    }
    bool isMatched = false;
    for (const TargetDaemon &daemon : m_target.daemons) {
        const bool isTarget = daemon.vm == fault.target || daemon.failureDomain == fault.target
                || daemon.region == fault.target;
        if (!isTarget || daemon.processId <= 0)
            continue;
        isMatched = true;
        // A process that ends between two faults, for example of a region and one of its VMs, needs
        // no further signal.
        if (kill(daemon.processId, found->second) != 0 && errno != ESRCH) {
            return core::failure(core::ErrorKind::Unavailable,
                                 "signal " + fault.signal + " to the daemon on " + daemon.vm
                                         + " failed: " + std::strerror(errno),
                                 "run the tool as the user who started the daemons");
        }
    }
    if (!isMatched) {
        return core::failure(core::ErrorKind::InvalidInput,
                             "no daemon with a known process matches '" + fault.target + "'",
                             "name a VM, failure domain or region of the address file");
    }
    return {};
}

core::Result<void> FaultInjector::setFaultSwitches(const ScheduledFault &fault)
{
    HttpClient client;
    const HttpAnswer answer = client.send(m_target.controlAddress, "POST", "/faults", {},
                                          fault.switches, requestTimeout);
    if (answer.status == 200)
        return {};
    return core::failure(core::ErrorKind::Unavailable,
                         "the stand-in rejected the fault switches: " + answer.body,
                         "check them against docs/operations/faults.md");
}

core::Result<void> FaultInjector::editConfiguration(const ScheduledFault &fault)
{
    platform::EtcdStore store({m_target.platformAddress}, requestTimeout);
    configuration_store::ConfigurationStore configurations(store, m_experiment.deployment,
                                                           platform::CallPurpose::Operator);
    configuration_store::ConfigurationEditor editor(configurations, "sardinehollow-load",
                                                    m_experiment.name);
    const auto head = editor.apply([&fault](config::Configuration &configuration) {
        return fault.action == FaultAction::Drain ? applyDrain(fault, configuration)
                                                  : applyShift(fault, configuration);
    });
    if (!head)
        return tl::unexpected<core::Error>(head.error());
    return {};
}

} // namespace sardinehollow::load
