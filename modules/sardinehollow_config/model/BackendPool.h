#pragma once

#include "sardinehollow_config/model/BackendServer.h"

#include <vector>

namespace sardinehollow::config {

/** Backend servers that serve the same work kinds. */
struct BackendPool
{
    std::string name;
    /** Maximum number of connections to one backend server, over all daemons. */
    std::uint32_t connectionLimit = 0;
    std::vector<BackendServer> backendServers;

    bool operator==(const BackendPool &) const = default;
};

} // namespace sardinehollow::config
