#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>

namespace sardinehollow::policy {

/** A quarantined request fingerprint, as peers announce it to each other. */
struct QuarantineEntry
{
    std::uint64_t fingerprint = 0;
    /** Time until the quarantine ends. */
    core::Duration remaining {0};

    bool operator==(const QuarantineEntry &) const = default;
};

} // namespace sardinehollow::policy
