#pragma once

#include <cstdint>
#include <string>

namespace sardinehollow::platform {

/** A condition of a transaction: the key was last written at modRevision; 0 means it is absent. */
struct Compare
{
    std::string key;
    std::int64_t modRevision = 0;
};

} // namespace sardinehollow::platform
