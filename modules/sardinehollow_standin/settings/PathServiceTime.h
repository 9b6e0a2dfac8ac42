#pragma once

#include <chrono>
#include <string>

namespace sardinehollow::standin {

/** Service time of requests whose path starts with a prefix. */
struct PathServiceTime
{
    std::string pathPrefix;
    std::chrono::milliseconds duration {0};
};

} // namespace sardinehollow::standin
