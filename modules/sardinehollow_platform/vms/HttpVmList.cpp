#include "sardinehollow_platform/vms/HttpVmList.h"

#include <Poco/JSON/Array.h>

namespace sardinehollow::platform {

namespace {

VmEntry toEntry(const Poco::JSON::Object &object)
{
    VmEntry entry;
    entry.vm = object.optValue<std::string>("vm", "");
    entry.region = object.optValue<std::string>("region", "");
    entry.failureDomain = object.optValue<std::string>("failureDomain", "");
    entry.callerAddress = object.optValue<std::string>("callerAddress", "");
    entry.forwardAddress = object.optValue<std::string>("forwardAddress", "");
    entry.operatorAddress = object.optValue<std::string>("operatorAddress", "");
    entry.peerAddress = object.optValue<std::string>("peerAddress", "");
    entry.leaving = object.optValue<std::string>("state", "live") == "leaving";
    return entry;
}

std::vector<VmEntry> toEntries(const Poco::JSON::Object &list)
{
    std::vector<VmEntry> entries;
    const Poco::JSON::Array::Ptr vms = list.getArray("vms");
    for (std::size_t index = 0; !vms.isNull() && index < vms->size(); ++index) {
        const Poco::JSON::Object::Ptr object = vms->getObject(static_cast<unsigned>(index));
        if (object.isNull())
            continue;
        entries.push_back(toEntry(*object));
    }
    return entries;
}

} // namespace

HttpVmList::HttpVmList(const std::string &address, std::chrono::milliseconds timeout)
    : m_client(address, timeout)
{ }

core::Result<std::vector<VmEntry>> HttpVmList::list()
{
    ++m_calls;
    const core::Result<Poco::JSON::Object::Ptr> response = m_client.get("/v1/vms");
    if (!response)
        return tl::unexpected<core::Error>(response.error());
    try {
        return toEntries(**response);
    } catch (const Poco::Exception &exception) {
        return core::failure(core::ErrorKind::Unavailable,
                             "the platform's list of VMs is malformed: " + exception.displayText(),
                             "check that vmListAddress is the address of the platform");
    }
}

} // namespace sardinehollow::platform
