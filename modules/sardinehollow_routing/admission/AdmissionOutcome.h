#pragma once

namespace sardinehollow::routing {

/** What the admission of a request led to. */
enum class AdmissionOutcome {
    /** Served within the latency objective, or late for another reason than the server's load. */
    InTime,
    /** Served or timed out beyond the latency objective at a server without a free slot. */
    Late,
    /** Refused because no server had capacity. */
    Refused,
};

} // namespace sardinehollow::routing
