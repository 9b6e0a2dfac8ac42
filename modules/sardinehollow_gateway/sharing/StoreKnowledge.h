#pragma once

#include "sardinehollow_core/time/Instant.h"

#include <optional>

namespace sardinehollow::gateway {

/** How far a daemon's copy of the store can be relied on. */
class StoreKnowledge
{
public:
    virtual ~StoreKnowledge() = default;

    /**
     * Time since the copy was last known to have all changes of the store; empty if it never was
     * since the daemon's start.
     */
    virtual std::optional<core::Duration> age() const = 0;
};

} // namespace sardinehollow::gateway
