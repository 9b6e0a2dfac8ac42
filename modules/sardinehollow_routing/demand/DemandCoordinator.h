#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/demand/DemandReport.h"
#include "sardinehollow_routing/demand/DemandView.h"
#include "sardinehollow_routing/quotas/RateMeter.h"

#include <cstdint>
#include <map>
#include <string>

namespace sardinehollow::routing {

/**
 * Sums the use of services over all daemons, as QuotaCoordinator does for teams. Runs on the
 * relays. Not safe for concurrent use.
 */
class DemandCoordinator
{
public:
    /** Sets the region of each failure domain. */
    void setRegions(const std::map<std::string, std::string> &regions);
    /** Sets the slots of the backend servers by service and region; other services are dropped. */
    void setSlots(const std::map<std::string, std::map<std::string, double>> &slots);
    void onReport(const std::string &daemon, const std::string &domain, std::uint64_t incarnation,
                  const DemandReport &report, core::Instant now);
    void onSummary(const std::string &coordinator, const std::string &domain,
                   std::uint64_t incarnation, const DemandReport &summary, core::Instant now);
    /** Returns the sums of the daemons' reports to send to all other coordinators. */
    DemandReport summary();
    /** Returns the demand by service and region; a service without recent requests is left out. */
    DemandView view(core::Instant now) const;
    /** Advances time; called every 500 ms or more often. */
    void advance(core::Instant now);

private:
    /** The latest report of a daemon or summary of a coordinator. */
    struct Source
    {
        std::string domain;
        std::uint64_t incarnation = 0;
        core::Instant heardAt {0};
        DemandReport latest;
    };

    /** Takes the report unless it is late; returns the new arrivals by service. */
    static std::map<std::string, std::uint64_t> accept(Source &source, const std::string &domain,
                                                       std::uint64_t incarnation,
                                                       const DemandReport &report,
                                                       core::Instant now);
    void addArrivals(const std::string &service, const std::string &domain, std::uint64_t count,
                     core::Instant now);
    /** Returns the requests in flight by region. */
    std::map<std::string, double> inFlight(const std::string &service) const;

    std::uint64_t m_sequence = 0;
    std::map<std::string, std::string> m_regions;
    std::map<std::string, std::map<std::string, double>> m_slots;
    std::map<std::string, Source> m_daemons;
    std::map<std::string, Source> m_coordinators;
    /** Sums of the daemons' reports. */
    std::map<std::string, ServiceUsage> m_sums;
    /** Arrivals per second by service and region. */
    std::map<std::string, std::map<std::string, RateMeter>> m_arrivals;
};

} // namespace sardinehollow::routing
