#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/demand/DemandReport.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/** Measures the use of the services at one daemon. Not safe for concurrent use. */
class DemandMeter
{
public:
    /** Records a request of a caller for the service. */
    void onArrival(const std::string &service);
    /** Records that a request is sent to a backend server of the region. */
    void onSent(const std::string &service, const std::string &region);
    /**
     * Records that a sent request has ended. The service time is how long the backend server took
     * for it; 0 if it did not complete.
     */
    void onEnded(const std::string &service, const std::string &region, core::Duration serviceTime);
    /** Returns the report to send next. */
    DemandReport report();

private:
    std::uint64_t m_sequence = 0;
    std::map<std::string, ServiceUsage> m_services;
};

} // namespace sardinehollow::routing
