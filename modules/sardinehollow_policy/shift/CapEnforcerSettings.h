#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** Identity of a cap enforcer, and its time limits. */
struct CapEnforcerSettings
{
    std::string shift;
    /** Differs for each enforcer of the shift, to tell its permits apart from those of others. */
    std::uint64_t incarnation = 0;
    /** Time for which permits are valid, on the clock of the enforcer. */
    core::Duration permitLifetime = std::chrono::milliseconds(300);
    /** Time after which another daemon may take over; a longer gap between calls counts as a pause.
     */
    core::Duration lease = std::chrono::seconds(2);

    /**
     * Time for which a new enforcer must not admit: a predecessor may grant permits during the
     * lease, they may be used during their lifetime, and count against the cap for one second.
     */
    core::Duration holdOff() const { return lease + permitLifetime + std::chrono::seconds(1); }
};

} // namespace sardinehollow::policy
