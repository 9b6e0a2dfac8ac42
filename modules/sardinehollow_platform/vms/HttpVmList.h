#pragma once

#include "sardinehollow_platform/http/JsonClient.h"
#include "sardinehollow_platform/vms/VmList.h"

#include <atomic>
#include <chrono>

namespace sardinehollow::platform {

/** Reads the list of VMs with GET /v1/vms from the platform. */
class HttpVmList : public VmList
{
public:
    HttpVmList(const std::string &address, std::chrono::milliseconds timeout);

    core::Result<std::vector<VmEntry>> list() override;
    /** Returns the number of calls made so far, including failed ones. */
    std::uint64_t calls() const { return m_calls; }

private:
    JsonClient m_client;
    std::atomic<std::uint64_t> m_calls {0};
};

} // namespace sardinehollow::platform
