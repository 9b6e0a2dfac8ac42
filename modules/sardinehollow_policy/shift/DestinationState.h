#pragma once

namespace sardinehollow::policy {

/** State of a destination failure domain of a shift, as last measured. */
enum class DestinationState {
    /** No current measurement. */
    Unknown,
    /** Its servers are still in slow start. */
    Cold,
    /** At least one rank misses its latency target. */
    Slow,
    Ready,
};

} // namespace sardinehollow::policy
