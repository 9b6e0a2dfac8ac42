#pragma once

#include "sardinehollow_policy/facade/PolicySettings.h"
#include "sardinehollow_policy/pool/ServerSlots.h"

#include <vector>

namespace sardinehollow::policy {

/**
 * Outlier ejection: temporarily avoids servers that fail or are slow while the others are not. At
 * most a configured share of the owned servers is avoided at a time.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(const PolicySettings &settings)
        : m_settings(settings)
    { }

    /** Compares a server, after an attempt, with the others that the shard owns. */
    void avoidIfOutlier(ServerSlots &server, const std::vector<ServerSlots *> &owned,
                        core::Instant now) const;

private:
    bool isOutlier(const ServerSlots &server, const std::vector<ServerSlots *> &owned) const;

    const PolicySettings &m_settings;
};

} // namespace sardinehollow::policy
