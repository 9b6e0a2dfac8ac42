#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <cstdint>
#include <string>

namespace sardinehollow::policy {

/** Response to a PermitRequest. Each permit admits one shifted request. */
struct PermitGrant
{
    std::string shift;
    std::uint64_t enforcerIncarnation = 0;
    /** PermitRequest::sequence of the request that is answered. */
    std::uint64_t requestSequence = 0;
    /** Number of permits in addition to those that the holder already has. */
    std::uint32_t added = 0;
    /**
     * Time for which all permits of the holder are valid, from when the request was sent. Extends
     * their validity only if added > 0.
     */
    core::Duration lifetime {0};

    bool operator==(const PermitGrant &) const = default;
};

} // namespace sardinehollow::policy
