#pragma once

#include "sardinehollow_core/errors/Result.h"
#include "sardinehollow_platform/vms/VmEntry.h"

#include <vector>

namespace sardinehollow::platform {

/** The platform's list of live and leaving VMs, which may be out of date. */
class VmList
{
public:
    virtual ~VmList() = default;

    /** Reads the list. An outage is an error, never an empty list. */
    virtual core::Result<std::vector<VmEntry>> list() = 0;
};

} // namespace sardinehollow::platform
