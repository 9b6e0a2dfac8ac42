#pragma once

#include "sardinehollow_core/time/Instant.h"
#include "sardinehollow_routing/backends/BackendRegistry.h"
#include "sardinehollow_routing/demand/DemandView.h"
#include "sardinehollow_routing/selection/SpillTarget.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sardinehollow::routing {

/** The demand over all daemons as last measured. Not safe for concurrent use. */
class MeasuredDemand
{
public:
    /** The region of this daemon. */
    explicit MeasuredDemand(std::string region);

    /** Applies a measurement; services with values that are negative or not finite are left out. */
    void apply(const DemandView &view, const BackendRegistry &servers, core::Instant now);
    /**
     * Returns the demand for a service by region; null without a measurement of the last 3 s. The
     * result is valid until the next measurement.
     */
    const std::map<std::string, RegionDemand> *ofService(const std::string &service,
                                                         core::Instant now) const;

    /** Returns the spill target of this daemon's region; empty without a measurement of the last 3
     * s.
     */
    std::optional<SpillTarget> spillTarget(const std::string &service, core::Instant now) const;

private:
    bool isFresh(core::Instant now) const;
    /** Returns the target of a service; empty if the region's part in it is not known. */
    std::optional<SpillTarget> computeTarget(const std::map<std::string, RegionDemand> &demand,
                                             const std::vector<BackendStatePtr> &servers) const;

    const std::string m_region;
    DemandView m_view;
    /** By service. */
    std::map<std::string, SpillTarget> m_targets;
    core::Instant m_measuredAt {0};
};

} // namespace sardinehollow::routing
