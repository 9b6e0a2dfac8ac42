#pragma once

#include "sardinehollow_core/errors/Result.h"

#include <map>
#include <string>
#include <vector>

namespace sardinehollow::load {

/** A daemon of the system under load. */
struct TargetDaemon
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    std::string callerAddress;
    std::string operatorAddress;
    /** Process ID; 0 if unknown. */
    int processId = 0;
};

/** Addresses of a running system, from the file that scripts/demo --keep writes. */
struct Target
{
    std::vector<TargetDaemon> daemons;
    std::string platformAddress;
    std::string controlAddress;
};

core::Result<Target> readTarget(const std::string &text);

} // namespace sardinehollow::load
