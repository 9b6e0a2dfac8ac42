#include "sardinehollow_routing/demand/DemandCoordinator.h"

#include <algorithm>

namespace sardinehollow::routing {

namespace {

// Three rounds of reports of 500 ms. A daemon that reports to another coordinator after 1 s without
// an answer is counted by both for at most the rest of it.
constexpr core::Duration reportExpiry = std::chrono::milliseconds(1600);
constexpr core::Duration sourceExpiry = std::chrono::seconds(30);
constexpr core::Duration averagingTime = std::chrono::seconds(2);
// Requests per second below which the shares of a service's arrivals mean nothing.
constexpr double minimumRate = 0.1;

std::uint64_t increase(std::uint64_t later, std::uint64_t earlier)
{
    // A counter that fell was reset, since its service was removed and added.
    return later >= earlier ? later - earlier : later;
}

double valueOf(const std::map<std::string, double> &values, const std::string &name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

} // namespace

void DemandCoordinator::setRegions(const std::map<std::string, std::string> &regions)
{
    m_regions = regions;
}

void DemandCoordinator::setSlots(const std::map<std::string, std::map<std::string, double>> &slots)
{
    m_slots = slots;
    const auto isRemoved = [this](const auto &entry) { return !m_slots.contains(entry.first); };
    std::erase_if(m_sums, isRemoved);
    std::erase_if(m_arrivals, isRemoved);
}

void DemandCoordinator::onReport(const std::string &daemon, const std::string &domain,
                                 std::uint64_t incarnation, const DemandReport &report,
                                 core::Instant now)
{
    for (const auto &[service, usage] :
         accept(m_daemons[daemon], domain, incarnation, report, now)) {
        if (!m_slots.contains(service))
            continue;
        m_sums[service].arrivals += usage.arrivals;
        m_sums[service].busySeconds += usage.busySeconds;
        addArrivals(service, domain, usage.arrivals, now);
    }
}

void DemandCoordinator::onSummary(const std::string &coordinator, const std::string &domain,
                                  std::uint64_t incarnation, const DemandReport &summary,
                                  core::Instant now)
{
    for (const auto &[service, usage] :
         accept(m_coordinators[coordinator], domain, incarnation, summary, now))
        addArrivals(service, domain, usage.arrivals, now);
}

DemandReport DemandCoordinator::summary(core::Instant now)
{
    DemandReport report {++m_sequence, m_sums};
    for (const auto &[daemon, source] : m_daemons) {
        if (now - source.heardAt > reportExpiry)
            continue;
        for (const auto &[service, usage] : source.latest.services) {
            if (!m_slots.contains(service))
                continue;
            for (const auto &[region, count] : usage.inFlight)
                report.services[service].inFlight[region] += count;
        }
    }
    return report;
}

DemandView DemandCoordinator::view(core::Instant now) const
{
    DemandView view;
    for (const auto &[service, regions] : m_arrivals) {
        double total = 0;
        for (const auto &[region, meter] : regions)
            total += meter.rate(now);
        if (total < minimumRate)
            continue;
        std::map<std::string, RegionDemand> &demand = view.services[service];
        for (const auto &[region, meter] : regions)
            demand[region].arrivalShare = meter.rate(now) / total;
        const std::map<std::string, double> loads = inFlight(service, now);
        for (const auto &[region, slots] : m_slots.at(service)) {
            if (slots > 0)
                demand[region].load = valueOf(loads, region) / slots;
        }
    }
    return view;
}

void DemandCoordinator::advance(core::Instant now)
{
    const auto isForgotten
            = [now](const auto &entry) { return now - entry.second.heardAt > sourceExpiry; };
    std::erase_if(m_daemons, isForgotten);
    std::erase_if(m_coordinators, isForgotten);
}

std::map<std::string, ServiceUsage>
DemandCoordinator::accept(Source &source, const std::string &domain, std::uint64_t incarnation,
                          const DemandReport &report, core::Instant now)
{
    const bool isFirst = source.heardAt.count() == 0 || now - source.heardAt > reportExpiry;
    const bool isSame = incarnation == source.incarnation;
    if (!isFirst
        && (isSame ? report.sequence <= source.latest.sequence : incarnation < source.incarnation))
        return {};
    std::map<std::string, ServiceUsage> deltas;
    for (const auto &[service, usage] : report.services) {
        // Another coordinator has counted what a daemon reported before its first report here, and
        // since its last one if that is long ago.
        if (isFirst)
            continue;
        const auto earlier = source.latest.services.find(service);
        const bool isKnown = isSame && earlier != source.latest.services.end();
        const ServiceUsage from = isKnown ? earlier->second : ServiceUsage {};
        deltas[service] = {increase(usage.arrivals, from.arrivals),
                           std::max(0.0, usage.busySeconds - from.busySeconds),
                           {}};
    }
    source = {domain, incarnation, now, report};
    return deltas;
}

void DemandCoordinator::addArrivals(const std::string &service, const std::string &domain,
                                    std::uint64_t count, core::Instant now)
{
    const auto region = m_regions.find(domain);
    if (region == m_regions.end() || !m_slots.contains(service))
        return;
    m_arrivals[service]
            .try_emplace(region->second, averagingTime)
            .first->second.add(static_cast<double>(count), now);
}

std::map<std::string, double> DemandCoordinator::inFlight(const std::string &service,
                                                          core::Instant now) const
{
    std::map<std::string, double> sums;
    for (const auto *sources : {&m_daemons, &m_coordinators}) {
        for (const auto &[name, source] : *sources) {
            const auto usage = source.latest.services.find(service);
            if (now - source.heardAt > reportExpiry || usage == source.latest.services.end())
                continue;
            for (const auto &[region, count] : usage->second.inFlight)
                sums[region] += count;
        }
    }
    return sums;
}

} // namespace sardinehollow::routing
