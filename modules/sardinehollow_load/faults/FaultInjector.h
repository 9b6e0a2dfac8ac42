#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_load/experiment/Experiment.h"
#include "sardinehollow_load/experiment/Target.h"

namespace sardinehollow::load {

/** Applies the faults and operator actions of an experiment to the system under load. */
class FaultInjector
{
public:
    FaultInjector(const Experiment &experiment, const Target &target);

    core::Result<void> apply(const ScheduledFault &fault);

private:
    core::Result<void> sendSignal(const ScheduledFault &fault);
    core::Result<void> setFaultSwitches(const ScheduledFault &fault);
    core::Result<void> editConfiguration(const ScheduledFault &fault);

    const Experiment &m_experiment;
    const Target &m_target;
};

} // namespace sardinehollow::load
