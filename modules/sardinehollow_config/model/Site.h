#pragma once

#include <string>
#include <vector>

namespace sardinehollow::config {

/** A steering target for callers: failure domains in order of preference. */
struct Site
{
    std::string name;
    std::vector<std::string> failureDomains;

    bool operator==(const Site &) const = default;
};

} // namespace sardinehollow::config
