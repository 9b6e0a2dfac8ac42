#pragma once

#include <map>
#include <set>
#include <string>

namespace sardinehollow::sharing {

/** Capacity of a daemon's VM. */
struct VmCapacity
{
    /** Bandwidth of the VM's network link in Mbit/s; 0 if unknown. */
    double linkMegabits = 0;
    /** Processor share in cores; 0 if unknown. */
    double cores = 0;
    auto operator<=>(const VmCapacity &) const = default;
};

/**
 * Selects the daemons of a failure domain that watch the store for all of them, those with the
 * largest capacity first. The selection depends on the members only, so that daemons with the same
 * view agree without messages. A small failure domain has no followers: all of its daemons are
 * returned.
 */
std::set<std::string> selectRelays(const std::map<std::string, VmCapacity> &members);

} // namespace sardinehollow::sharing
