#include "sardinehollow_entry/forwarding/BackendHeaders.h"

#include "sardinehollow_entry/exchange/HeaderNames.h"

#include <Poco/NumberParser.h>

namespace sardinehollow::entry {

bool readBackendHeaders(const Poco::Net::HTTPResponse &response, policy::BackendReport &report)
{
    report.leaving = response.get(leavingHeader, "") == "1";
    const std::string load = response.get(loadHeader, "");
    const std::size_t slash = load.find('/');
    unsigned inFlight = 0;
    unsigned slots = 0;
    const bool hasLoad = slash != std::string::npos
            && Poco::NumberParser::tryParseUnsigned(load.substr(0, slash), inFlight)
            && Poco::NumberParser::tryParseUnsigned(load.substr(slash + 1), slots);
    if (hasLoad) {
        report.inFlight = inFlight;
        report.slots = slots;
    }
    return hasLoad || response.has(leavingHeader);
}

} // namespace sardinehollow::entry
