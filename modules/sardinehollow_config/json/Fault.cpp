#include "sardinehollow_config/json/Fault.h"

namespace sardinehollow::config {

std::string toText(const FaultList &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        text += (fault.pointer.empty() ? "/" : fault.pointer) + ": " + fault.message + "; "
                + fault.remedy + "\n";
    }
    return text;
}

} // namespace sardinehollow::config
