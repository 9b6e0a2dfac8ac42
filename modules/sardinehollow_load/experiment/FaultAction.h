#pragma once

#include <optional>
#include <string_view>

namespace sardinehollow::load {

/** The kind of action that an experiment applies to the system. */
enum class FaultAction {
    /** Sends a signal to daemon processes. */
    Signal,
    /** Sets fault switches of the stand-in. */
    Standin,
    /** Adds a drain to the configuration, or removes it. */
    Drain,
    /** Adds a shift to the configuration, or removes it. */
    Shift,
};

std::string_view toName(FaultAction action);
std::optional<FaultAction> faultActionFromName(std::string_view name);

} // namespace sardinehollow::load
