#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::policy {

/** Moving average of the service time of one work kind at backend servers. */
class ServiceTimeAverage
{
public:
    void record(core::Duration latency);
    /** Returns the mean, or zero while there are too few samples. */
    core::Duration mean() const;

private:
    double m_mean = 0.0;
    std::uint32_t m_samples = 0;
};

} // namespace sardinehollow::policy
