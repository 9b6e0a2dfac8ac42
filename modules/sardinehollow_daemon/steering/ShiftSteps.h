#pragma once

#include "sardinehollow_config/model/Configuration.h"
#include "sardinehollow_policy/lookup/ShiftFractions.h"
#include "sardinehollow_policy/peers/PeerView.h"
#include "sardinehollow_policy/shift/ShiftProgress.h"

#include <functional>
#include <map>
#include <string>

namespace sardinehollow::daemon {

/** Advances the steps of all shifts by this daemon's clock. Not safe for concurrent use. */
class ShiftSteps
{
public:
    /** Returns the lowest configuration generation in force in a failure domain; 0 if unknown. */
    using GenerationSource = std::function<std::uint64_t(const std::string &failureDomain)>;

    void configure(const config::Configuration &configuration, core::Instant now);
    void advance(const config::Configuration &configuration, const policy::PeerView &peers,
                 const GenerationSource &lowestGeneration, core::Instant now);
    policy::ShiftFractions fractions() const;

private:
    struct TrackedShift
    {
        config::Shift shift;
        /** Configuration generation that introduced the shift in its current form. */
        std::uint64_t generation = 0;
        policy::ShiftProgress progress;
    };

    std::map<std::string, TrackedShift> m_shifts;
};

} // namespace sardinehollow::daemon
