#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::config {

/** A server that runs requests. */
struct BackendServer
{
    std::string name;
    /** "IP:port". */
    std::string address;
    std::string failureDomain;
    /** Maximum number of requests that the server runs concurrently. */
    std::uint32_t slots = 0;

    bool operator==(const BackendServer &) const = default;
};

} // namespace sardinehollow::config
