#include "sardinehollow_routing/demand/DemandMeter.h"

namespace sardinehollow::routing {

void DemandMeter::onArrival(const std::string &service)
{
    ++m_services[service].arrivals;
}

void DemandMeter::onSent(const std::string &service, const std::string &region)
{
    ++m_services[service].inFlight[region];
}

void DemandMeter::onEnded(const std::string &service, const std::string &region,
                          core::Duration serviceTime)
{
    ServiceUsage &usage = m_services[service];
    usage.busySeconds += std::chrono::duration<double>(serviceTime).count();
    const auto found = usage.inFlight.find(region);
    if (found != usage.inFlight.end() && --found->second == 0)
        usage.inFlight.erase(found);
}

void DemandMeter::retainServices(const std::set<std::string> &services)
{
    std::erase_if(m_services, [&services](const auto &entry) {
        return !services.contains(entry.first) && entry.second.inFlight.empty();
    });
}

DemandReport DemandMeter::report()
{
    return {++m_sequence, m_services};
}

} // namespace sardinehollow::routing
