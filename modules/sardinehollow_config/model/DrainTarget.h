#pragma once

#include <optional>
#include <string_view>

namespace sardinehollow::config {

/** Kinds of target that an operator can drain. */
enum class DrainTarget {
    Vm,
    BackendServer,
    FailureDomain,
    Region,
};

std::string_view toName(DrainTarget target);
std::optional<DrainTarget> drainTargetFromName(std::string_view name);

} // namespace sardinehollow::config
