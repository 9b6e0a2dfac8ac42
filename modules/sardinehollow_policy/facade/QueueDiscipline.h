#pragma once

namespace sardinehollow::policy {

/** Order in which one rank's queue serves the entries of one caller. */
enum class QueueDiscipline {
    Fifo,
    /**
     * Newest first while the oldest entry of the rank has waited for longer than the delay target,
     * otherwise oldest first.
     */
    LifoUnderOverload,
    EarliestDeadline,
    /** Earliest deadline; sheds entries while the delay stays above the target, as CoDel does. */
    ControlledDelay,
};

} // namespace sardinehollow::policy
