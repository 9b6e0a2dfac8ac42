#pragma once

#include <string>

namespace sardinehollow::config {

/** A part of a region that fails or loses its network connection as a unit. */
struct FailureDomain
{
    std::string name;
    std::string region;

    bool operator==(const FailureDomain &) const = default;
};

} // namespace sardinehollow::config
